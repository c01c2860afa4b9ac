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
 * The configuration that a node uses, joined with the VM list.
 *
 * <p>The version never goes back. A version that this build cannot read is noted and left aside, so
 * that the last good one stays in force. Nothing is published before both a version and a VM list
 * are known. Thread-safe; the listener is called under this object's lock and must not block.
 */
public final class ActiveConfiguration {

  /** Versions that are remembered to answer peers with a delta. */
  private static final int REMEMBERED_VERSIONS = 16;

  private final Consumer<ConfigurationView> listener;
  private final Deque<ConfigurationVersion> versions = new ArrayDeque<>();
  private @Nullable VmList vms;
  private long unreadableVersion;
  private @Nullable String unreadableReason;

  /**
   * Creates the holder.
   *
   * @param listener receives each view that comes into force
   */
  public ActiveConfiguration(Consumer<ConfigurationView> listener) {
    this.listener = Assert.notNull(listener, "listener");
  }

  /** Returns the version in force; zero if there is none. */
  public synchronized long version() {
    return versions.isEmpty() ? 0 : versions.getLast().getVersion();
  }

  /** Returns what is in force. */
  public synchronized Optional<ConfigurationVersion> current() {
    return Optional.ofNullable(versions.peekLast());
  }

  /** Returns the last VM list, if there is one. */
  public synchronized Optional<VmList> vms() {
    return Optional.ofNullable(vms);
  }

  /** Returns the highest version that was offered and could not be used. */
  public synchronized OptionalLong unreadableVersion() {
    return unreadableVersion > version()
        ? OptionalLong.of(unreadableVersion)
        : OptionalLong.empty();
  }

  /** Returns why the version that could not be used was left aside. */
  public synchronized Optional<String> unreadableReason() {
    return unreadableVersion > version() ? Optional.ofNullable(unreadableReason) : Optional.empty();
  }

  /**
   * Takes a version if it is newer than the one in force and can be used.
   *
   * @return whether it came into force
   */
  public synchronized boolean offer(ConfigurationVersion offered) {
    if (offered.getVersion() <= version()) {
      return false;
    }
    try {
      ConfigurationRecords.requireSupportedSchema(offered.getVersion(), offered.getRecord());
      VmList known = vms == null ? VmList.getDefaultInstance() : vms;
      ConfigurationView view = view(offered, known);
      remember(offered);
      if (vms != null) {
        listener.accept(view);
      }
      return true;
    } catch (RuntimeException e) {
      recordUnreadable(offered.getVersion(), String.valueOf(e.getMessage()));
      return false;
    }
  }

  /** Notes a version that could not be read at all. */
  public synchronized void recordUnreadable(long version, String reason) {
    if (version >= unreadableVersion) {
      unreadableVersion = version;
      unreadableReason = reason;
    }
  }

  /** Joins the version in force with a new VM list. */
  public synchronized void updateVms(VmList list) {
    vms = Assert.notNull(list, "list");
    current().ifPresent(version -> listener.accept(view(version, list)));
  }

  private static ConfigurationView view(ConfigurationVersion version, VmList list) {
    return ConfigurationView.of(version.getVersion(), version.getRecord().getDocument(), list);
  }

  private void remember(ConfigurationVersion version) {
    versions.addLast(version);
    if (versions.size() > REMEMBERED_VERSIONS) {
      versions.removeFirst();
    }
  }

  /**
   * Returns what changed since a version that a peer has.
   *
   * @return empty if that version is not remembered, so that the peer needs the whole document
   */
  public synchronized Optional<ConfigurationDelta> deltaSince(long knownVersion) {
    return versions.stream()
        .filter(version -> version.getVersion() == knownVersion)
        .findFirst()
        .map(known -> ConfigurationDeltas.between(known, versions.getLast()));
  }

  /**
   * Takes a delta if it starts from the version in force.
   *
   * @return whether its version came into force
   */
  public synchronized boolean offer(ConfigurationDelta delta) {
    return current()
        .filter(known -> known.getVersion() == delta.getFromVersion())
        .filter(known -> offer(ConfigurationDeltas.apply(known, delta)))
        .isPresent();
  }
}
