package org.foxtailford.core.configuration;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDelta;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.VmList;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration version that is active on a node, joined with the VM list.
 *
 * <p>The version never decreases. A version that this build cannot use is recorded and skipped, so
 * that the last usable one stays active. The listener receives nothing until both a version and a
 * VM list are known. Thread-safe; the listener is called while this object's lock is held and must
 * not block.
 */
public final class ActiveConfiguration {

  /** Number of recent versions that are retained as bases for deltas to peers. */
  private static final int MAX_RETAINED_VERSIONS = 16;

  private final Consumer<ConfigurationView> listener;
  private final Deque<ConfigurationVersion> versions = new ArrayDeque<>();
  private @Nullable VmList vms;
  private long unreadableVersion;
  private @Nullable String unreadableReason;

  /**
   * Creates a holder without a version or a VM list.
   *
   * @param listener receives each view that becomes active
   */
  public ActiveConfiguration(Consumer<ConfigurationView> listener) {
    this.listener = Assert.notNull(listener, "listener");
  }

  /** Returns the number of the active version; zero if there is none. */
  public synchronized long version() {
    return versions.isEmpty() ? 0 : versions.getLast().getVersion();
  }

  /** Returns the active version; empty until one is known. */
  public synchronized Optional<ConfigurationVersion> current() {
    return Optional.ofNullable(versions.peekLast());
  }

  /** Returns the most recent VM list; empty until one is known. */
  public synchronized Optional<VmList> vms() {
    return Optional.ofNullable(vms);
  }

  /** Returns the highest unusable version that was offered; empty if a newer one is active. */
  public synchronized OptionalLong unreadableVersion() {
    return unreadableVersion > version()
        ? OptionalLong.of(unreadableVersion)
        : OptionalLong.empty();
  }

  /** Returns why {@link #unreadableVersion()} cannot be used; empty if there is no such version. */
  public synchronized Optional<String> unreadableReason() {
    return unreadableVersion > version() ? Optional.ofNullable(unreadableReason) : Optional.empty();
  }

  /**
   * Activates a version if it is newer than the active one and usable.
   *
   * @return whether the version became active
   */
  public synchronized boolean offer(ConfigurationVersion offered) {
    if (offered.getVersion() <= version()) {
      return false;
    }
    try {
      ConfigurationRecords.requireSupportedSchema(offered.getVersion(), offered.getRecord());
      VmList known = vms == null ? VmList.getDefaultInstance() : vms;
      ConfigurationView view = view(offered, known);
      retain(offered);
      if (vms != null) {
        listener.accept(view);
      }
      return true;
    } catch (RuntimeException e) {
      recordUnreadable(offered.getVersion(), String.valueOf(e.getMessage()));
      return false;
    }
  }

  /** Records a version that cannot be used, and the reason. */
  public synchronized void recordUnreadable(long version, String reason) {
    if (version >= unreadableVersion) {
      unreadableVersion = version;
      unreadableReason = reason;
    }
  }

  /** Replaces the VM list and publishes the active version, if any, joined with it. */
  public synchronized void updateVms(VmList list) {
    vms = Assert.notNull(list, "list");
    current().ifPresent(version -> listener.accept(view(version, list)));
  }

  private static ConfigurationView view(ConfigurationVersion version, VmList list) {
    return ConfigurationView.of(version.getVersion(), version.getRecord().getDocument(), list);
  }

  private void retain(ConfigurationVersion version) {
    versions.addLast(version);
    if (versions.size() > MAX_RETAINED_VERSIONS) {
      versions.removeFirst();
    }
  }

  /**
   * Returns the changes from a version that a peer has to the active one.
   *
   * @return delta; empty if that version is no longer retained, so that the peer needs a snapshot
   */
  public synchronized Optional<ConfigurationDelta> deltaSince(long knownVersion) {
    return versions.stream()
        .filter(version -> version.getVersion() == knownVersion)
        .findFirst()
        .map(known -> ConfigurationDeltas.between(known, versions.getLast()));
  }

  /**
   * Applies a delta if it is based on the active version.
   *
   * @return whether the resulting version became active
   */
  public synchronized boolean offer(ConfigurationDelta delta) {
    return current()
        .filter(known -> known.getVersion() == delta.getFromVersion())
        .filter(known -> offer(ConfigurationDeltas.apply(known, delta)))
        .isPresent();
  }
}
