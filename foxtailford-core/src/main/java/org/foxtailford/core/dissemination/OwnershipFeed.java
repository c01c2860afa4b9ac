package org.foxtailford.core.dissemination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.slice.SliceKey;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.OwnershipDelta;
import org.foxtailford.schema.PeerFrame;

/**
 * Owners of one data centre as they are passed on: a snapshot, and what changed since a version.
 *
 * <p>A receiver that names a version still in the history gets the changes since; every other one
 * gets the snapshot. Thread-safe.
 */
public final class OwnershipFeed {

  private final int maxHistory;
  private final Deque<Version> history = new ArrayDeque<>();
  private OwnershipMap current;

  /** One version and what it changed. */
  private record Version(
      Fence base, Fence version, Map<SliceKey, Optional<SliceAssignment>> changes) {}

  /**
   * Creates a feed without owners.
   *
   * @param dataCentre data centre of the owners
   * @param maxHistory versions that are kept as changes
   */
  public OwnershipFeed(String dataCentre, int maxHistory) {
    Assert.isTrue(maxHistory >= 0, "maxHistory must not be negative");
    this.maxHistory = maxHistory;
    this.current = OwnershipMap.empty(dataCentre);
  }

  /** Returns the newest owners. */
  public synchronized OwnershipMap current() {
    return current;
  }

  /**
   * Takes a snapshot unless a newer version is known.
   *
   * @return whether it was taken
   */
  public synchronized boolean accept(OwnershipCheckpoint checkpoint) {
    return advance(OwnershipMap.of(checkpoint));
  }

  /**
   * Takes changes that start at the current version or before it.
   *
   * @return whether they were taken; if not, the sender has to give more or has nothing new
   */
  public synchronized boolean accept(OwnershipDelta delta) {
    Fence base = Fence.of(delta.getBase());
    if (!base.equals(current.version())) {
      return false;
    }
    return advance(OwnershipDeltas.apply(current, delta));
  }

  private boolean advance(OwnershipMap next) {
    boolean newer = next.version().compareTo(current.version()) > 0;
    if (!newer || !next.dataCentre().equals(current.dataCentre())) {
      return false;
    }
    Map<SliceKey, Optional<SliceAssignment>> changes = OwnershipDeltas.difference(current, next);
    history.addLast(new Version(current.version(), next.version(), changes));
    while (history.size() > maxHistory) {
      history.removeFirst();
    }
    current = next;
    return true;
  }

  /**
   * Returns what a receiver lacks.
   *
   * @param known version that the receiver has
   * @return changes or a snapshot; empty if it lacks nothing
   */
  public synchronized Optional<PeerFrame> messageFor(Fence known) {
    if (known.compareTo(current.version()) >= 0) {
      return Optional.empty();
    }
    Map<SliceKey, Optional<SliceAssignment>> changes = new LinkedHashMap<>();
    boolean found = false;
    for (Version version : history) {
      found |= version.base().equals(known);
      if (found) {
        changes.putAll(version.changes());
      }
    }
    if (!found) {
      return Optional.of(
          PeerFrame.newBuilder().setOwnership(OwnershipDeltas.checkpoint(current)).build());
    }
    OwnershipDelta delta = OwnershipDeltas.toMessage(current, known, changes);
    return Optional.of(PeerFrame.newBuilder().setOwnershipDelta(delta).build());
  }
}
