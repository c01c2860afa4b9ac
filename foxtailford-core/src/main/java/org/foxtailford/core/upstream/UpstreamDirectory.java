package org.foxtailford.core.upstream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Upstreams that may be used, from their registrations.
 *
 * <p>A registration that is removed while the store is unreachable, or shortly after its return,
 * may have lapsed only because the upstream could not renew it. Such an upstream stays usable for
 * {@link #STORE_RECOVERY_GRACE_MS} after the store's return. Not thread-safe.
 */
public final class UpstreamDirectory {

  /**
   * Time for lapsed entries to be back after the store's return, in milliseconds; from the pages.
   */
  public static final long STORE_RECOVERY_GRACE_MS = 2000;

  private final Map<String, Known> upstreams = new HashMap<>();
  private final Map<String, List<UpstreamEntry>> usable = new HashMap<>();
  private Set<String> evacuated = Set.of();
  private boolean storeLost;
  private long settledAtMs;

  private static final class Known {
    private UpstreamEntry entry;
    private long coldUntilMs;
    private boolean lapsed;

    Known(UpstreamEntry entry) {
      this.entry = entry;
    }
  }

  /** Takes a registration, new or changed. */
  public void put(UpstreamEntry entry, long nowMs) {
    Known known = upstreams.computeIfAbsent(entry.id(), id -> new Known(entry));
    known.entry = entry;
    known.lapsed = false;
    usable.clear();
    known.coldUntilMs = entry.coldLeftMs() == 0 ? 0 : nowMs + entry.coldLeftMs();
  }

  /**
   * Takes the removal of a registration, or one that can no longer be read.
   *
   * @return whether the upstream is gone now; false if it was unknown or may come back
   */
  public boolean remove(String id, long nowMs) {
    Known known = upstreams.get(id);
    if (known == null) {
      return false;
    }
    if (!known.entry.draining() && (storeLost || nowMs < settledAtMs)) {
      known.lapsed = true;
      return false;
    }
    upstreams.remove(id);
    usable.clear();
    return true;
  }

  /** Notes that nobody in touch reaches the store. */
  public void onStoreLost() {
    storeLost = true;
  }

  /** Notes that the store is reached again. */
  public void onStoreRegained(long nowMs) {
    if (storeLost) {
      storeLost = false;
      settledAtMs = nowMs + STORE_RECOVERY_GRACE_MS;
    }
  }

  /**
   * Drops the upstreams whose entries lapsed and are not back in time.
   *
   * @return their ids
   */
  public List<String> removeLapsed(long nowMs) {
    if (storeLost || nowMs < settledAtMs) {
      return List.of();
    }
    List<String> dropped = new ArrayList<>();
    upstreams.values().stream().filter(k -> k.lapsed).forEach(k -> dropped.add(k.entry.id()));
    dropped.forEach(upstreams::remove);
    usable.clear();
    return dropped;
  }

  /** Replaces the data centres that get nothing. */
  public void setEvacuated(Collection<String> dataCentres) {
    evacuated = new HashSet<>(dataCentres);
    usable.clear();
  }

  /** Returns an upstream, whether it may be used or not. */
  public Optional<UpstreamEntry> find(String id) {
    return Optional.ofNullable(upstreams.get(id)).map(known -> known.entry);
  }

  /** Returns whether requests may be sent to an upstream. */
  public boolean isUsable(UpstreamEntry entry) {
    Known known = upstreams.get(entry.id());
    return known != null
        && known.entry.isSameIncarnation(entry)
        && !known.entry.draining()
        && !evacuated.contains(entry.dataCentre());
  }

  /** Returns whether an upstream is cold. */
  public boolean isCold(String id, long nowMs) {
    Known known = upstreams.get(id);
    return known != null && nowMs < known.coldUntilMs;
  }

  /** Returns the upstreams of a service to which requests may be sent; each request asks. */
  public List<UpstreamEntry> usable(String service) {
    return usable.computeIfAbsent(service, this::findUsable);
  }

  private List<UpstreamEntry> findUsable(String service) {
    List<UpstreamEntry> found = new ArrayList<>();
    for (Known known : upstreams.values()) {
      if (known.entry.service().equals(service) && isUsable(known.entry)) {
        found.add(known.entry);
      }
    }
    return List.copyOf(found);
  }

  /** Returns the number of known upstreams. */
  public int size() {
    return upstreams.size();
  }
}
