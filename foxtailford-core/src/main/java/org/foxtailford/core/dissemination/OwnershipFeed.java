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
 * Ownership map of a data centre with a history of changes, for sending to and receiving from
 * peers.
 *
 * <p>A receiver whose version is still in the history gets a delta; any other receiver gets a
 * snapshot. Thread-safe.
 */
public final class OwnershipFeed {

  private final int maxHistory;
  private final Deque<VersionChange> history = new ArrayDeque<>();
  private OwnershipMap current;

  /** Changes between two consecutive versions. */
  private record VersionChange(
      Fence base, Fence version, Map<SliceKey, Optional<SliceAssignment>> changes) {}

  /**
   * Creates a feed with an empty ownership map.
   *
   * @param dataCentre data centre whose owners are distributed
   * @param maxHistory maximum number of versions whose changes are retained; zero for snapshots
   *     only
   */
  public OwnershipFeed(String dataCentre, int maxHistory) {
    Assert.isTrue(maxHistory >= 0, "maxHistory must not be negative");
    this.maxHistory = maxHistory;
    this.current = OwnershipMap.empty(dataCentre);
  }

  /** Returns the latest ownership map. */
  public synchronized OwnershipMap current() {
    return current;
  }

  /**
   * Applies a snapshot if it is of this data centre and newer than the current version.
   *
   * @return whether it was applied
   */
  public synchronized boolean accept(OwnershipCheckpoint checkpoint) {
    return advance(OwnershipMap.of(checkpoint));
  }

  /**
   * Applies a delta if it is based on the current version.
   *
   * @return whether it was applied; if not, the delta is out of date or the sender must send
   *     changes from an earlier version
   */
  public synchronized boolean accept(OwnershipDelta delta) {
    Fence base = Fence.of(delta.getBase());
    if (!base.equals(current.version())) {
      return false;
    }
    return advance(OwnershipDeltas.apply(current, delta));
  }

  private boolean advance(OwnershipMap next) {
    boolean isNewer = next.version().compareTo(current.version()) > 0;
    if (!isNewer || !next.dataCentre().equals(current.dataCentre())) {
      return false;
    }
    Map<SliceKey, Optional<SliceAssignment>> changes = OwnershipDeltas.difference(current, next);
    history.addLast(new VersionChange(current.version(), next.version(), changes));
    while (history.size() > maxHistory) {
      history.removeFirst();
    }
    current = next;
    return true;
  }

  /**
   * Returns the message that brings a receiver up to date.
   *
   * @param known version that the receiver has
   * @return delta or snapshot; empty if the receiver is up to date
   */
  public synchronized Optional<PeerFrame> messageFor(Fence known) {
    if (known.compareTo(current.version()) >= 0) {
      return Optional.empty();
    }
    Map<SliceKey, Optional<SliceAssignment>> changes = new LinkedHashMap<>();
    boolean foundBase = false;
    for (VersionChange version : history) {
      foundBase |= version.base().equals(known);
      if (foundBase) {
        changes.putAll(version.changes());
      }
    }
    if (!foundBase) {
      return Optional.of(
          PeerFrame.newBuilder().setOwnership(OwnershipDeltas.checkpoint(current)).build());
    }
    OwnershipDelta delta = OwnershipDeltas.toMessage(current, known, changes);
    return Optional.of(PeerFrame.newBuilder().setOwnershipDelta(delta).build());
  }
}
