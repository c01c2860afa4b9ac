package org.foxtailford.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps the registered upstreams and determines which of them may receive requests.
 *
 * <p>A registration that is removed while the store is unreachable, or shortly after its recovery,
 * may have lapsed only because the upstream could not renew it. Such an upstream stays usable for
 * {@link #STORE_RECOVERY_GRACE_MS} after the store's recovery. Not thread-safe.
 */
public final class UpstreamDirectory {

  /**
   * Time for upstreams to renew lapsed registrations after the store's recovery, in milliseconds;
   * specified by the platform's documentation.
   */
  public static final long STORE_RECOVERY_GRACE_MS = 2000;

  /** Removed upstreams that are remembered; a restored store may present them again. */
  private static final int MAX_DEPARTED = 4096;

  private final Map<String, Registration> upstreams = new HashMap<>();

  private final Map<String, Long> departedBornMs =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_DEPARTED;
        }
      };

  private final Map<String, List<UpstreamEntry>> usable = new HashMap<>();
  private static final long NOT_LEAVING = Long.MAX_VALUE;

  private Set<String> evacuatedDataCentres = Set.of();
  private boolean storeLost;
  private long graceEndMs;

  private static final class Registration {
    private UpstreamEntry entry;
    private long coldUntilMs;
    private boolean lapsed;
    private long leavingSinceMs = NOT_LEAVING;

    Registration(UpstreamEntry entry) {
      this.entry = entry;
    }
  }

  /** Adds or updates a registration; the remaining cold time counts from {@code nowMs}. */
  public void put(UpstreamEntry entry, long nowMs) {
    Registration registration =
        upstreams.computeIfAbsent(entry.id(), id -> new Registration(entry));
    if (!registration.entry.isSameIncarnation(entry)) {
      registration.leavingSinceMs = NOT_LEAVING;
    }
    registration.entry = entry;
    departedBornMs.remove(entry.id());
    registration.lapsed = false;
    usable.clear();
    registration.coldUntilMs = entry.coldLeftMs() == 0 ? 0 : nowMs + entry.coldLeftMs();
  }

  /**
   * Adds or updates a registration that a store restored from an older copy presents. It is ignored
   * if this incarnation was known to be draining or gone; an upstream that is alive and stays
   * registers again.
   *
   * @return whether the registration was applied
   */
  public boolean putRestored(UpstreamEntry entry, long nowMs) {
    Registration known = upstreams.get(entry.id());
    boolean leaves =
        known != null && known.entry.isSameIncarnation(entry) && known.entry.draining();
    boolean departed = Long.valueOf(entry.bornMs()).equals(departedBornMs.get(entry.id()));
    if (leaves || departed) {
      return false;
    }
    put(entry, nowMs);
    return true;
  }

  /**
   * Records that an upstream said that it is leaving. It gets no requests from then on until its id
   * belongs to another incarnation, whatever the store says.
   *
   * @return whether this was not known before
   */
  public boolean markLeaving(String id, long bornMs, long nowMs) {
    Registration registration = upstreams.get(id);
    boolean isNew =
        registration != null
            && registration.entry.bornMs() == bornMs
            && registration.leavingSinceMs == NOT_LEAVING;
    if (isNew) {
      registration.leavingSinceMs = nowMs;
      usable.clear();
    }
    return isNew;
  }

  /** Returns the registered upstreams that said that they are leaving. */
  public List<UpstreamEntry> leaving() {
    List<UpstreamEntry> leaving = new ArrayList<>();
    for (Registration registration : upstreams.values()) {
      if (registration.leavingSinceMs != NOT_LEAVING) {
        leaving.add(registration.entry);
      }
    }
    return leaving;
  }

  /**
   * Returns whether an owner of keys may still get requests for them: it is usable, or it said at
   * most {@code leavingMs} milliseconds ago that it is leaving, so that its keys are being moved.
   */
  public boolean mayServeKeys(UpstreamEntry entry, long leavingMs, long nowMs) {
    Registration registration = upstreams.get(entry.id());
    return isUsable(entry)
        || registration != null
            && registration.leavingSinceMs != NOT_LEAVING
            && nowMs - registration.leavingSinceMs < leavingMs
            && isRegistered(registration, entry);
  }

  /**
   * Handles the removal of a registration, or one that has become unreadable.
   *
   * @return whether the upstream was removed; false if it was not registered, or if its
   *     registration may have lapsed in a store outage
   */
  public boolean remove(String id, long nowMs) {
    Registration registration = upstreams.get(id);
    if (registration == null) {
      return false;
    }
    if (!registration.entry.draining() && (storeLost || nowMs < graceEndMs)) {
      registration.lapsed = true;
      return false;
    }
    depart(id);
    return true;
  }

  private void depart(String id) {
    Registration departed = upstreams.remove(id);
    if (departed != null) {
      departedBornMs.put(id, departed.entry.bornMs());
    }
    usable.clear();
  }

  /** Records that no reachable entry VM can reach the store. */
  public void onStoreLost() {
    storeLost = true;
  }

  /** Records that the store is reachable again; starts the grace period after an outage. */
  public void onStoreRegained(long nowMs) {
    if (storeLost) {
      storeLost = false;
      graceEndMs = nowMs + STORE_RECOVERY_GRACE_MS;
    }
  }

  /**
   * Removes the upstreams whose registrations lapsed and were not renewed in time.
   *
   * @return ids of the removed upstreams; empty during an outage and the grace period
   */
  public List<String> removeLapsed(long nowMs) {
    if (storeLost || nowMs < graceEndMs) {
      return List.of();
    }
    List<String> removed = new ArrayList<>();
    upstreams.values().stream().filter(r -> r.lapsed).forEach(r -> removed.add(r.entry.id()));
    removed.forEach(this::depart);
    return removed;
  }

  /** Replaces the data centres whose upstreams receive no requests. */
  public void setEvacuated(Collection<String> dataCentres) {
    evacuatedDataCentres = new HashSet<>(dataCentres);
    usable.clear();
  }

  /** Returns the entry of an upstream, usable or not; empty if it is not registered. */
  public Optional<UpstreamEntry> find(String id) {
    return Optional.ofNullable(upstreams.get(id)).map(registration -> registration.entry);
  }

  /**
   * Returns whether requests may be sent to an upstream: this incarnation is registered, neither
   * draining nor leaving, and not in an evacuated data centre.
   */
  public boolean isUsable(UpstreamEntry entry) {
    Registration registration = upstreams.get(entry.id());
    return registration != null
        && registration.leavingSinceMs == NOT_LEAVING
        && isRegistered(registration, entry);
  }

  private boolean isRegistered(Registration registration, UpstreamEntry entry) {
    return registration.entry.isSameIncarnation(entry)
        && !registration.entry.draining()
        && !evacuatedDataCentres.contains(entry.dataCentre());
  }

  /** Returns whether an upstream is cold; false if it is not registered. */
  public boolean isCold(String id, long nowMs) {
    Registration registration = upstreams.get(id);
    return registration != null && nowMs < registration.coldUntilMs;
  }

  /** Returns the usable upstreams of a service; cached, since every request calls this. */
  public List<UpstreamEntry> usable(String service) {
    return usable.computeIfAbsent(service, this::selectUsable);
  }

  private List<UpstreamEntry> selectUsable(String service) {
    List<UpstreamEntry> entries = new ArrayList<>();
    for (Registration registration : upstreams.values()) {
      if (registration.entry.service().equals(service) && isUsable(registration.entry)) {
        entries.add(registration.entry);
      }
    }
    return List.copyOf(entries);
  }

  /** Returns the number of upstreams, usable or not. */
  public int size() {
    return upstreams.size();
  }
}
