package org.foxtailford.core.ownership;

import java.util.Optional;
import org.foxtailford.core.slice.SliceKey;

/**
 * State of one slice as known to the leader: its owner or, if it has none, the time from which it
 * may be granted.
 *
 * <p>The owner is changed only through the {@link SliceTable} that contains the slice, which keeps
 * its index by owner consistent. Not thread-safe.
 */
final class SliceState {

  private final SliceKey key;
  private Optional<SliceAssignment> assignment = Optional.empty();
  private Optional<String> nextOwner = Optional.empty();
  private Optional<SliceAssignment> lapsedAssignment = Optional.empty();
  private boolean wasAssigned;
  private boolean retiring;
  private long freedMs;

  SliceState(SliceKey key) {
    this.key = key;
  }

  SliceKey key() {
    return key;
  }

  Optional<SliceAssignment> assignment() {
    return assignment;
  }

  Optional<String> owner() {
    return assignment.map(SliceAssignment::upstream);
  }

  Optional<String> nextOwner() {
    return nextOwner;
  }

  void setNextOwner(String target) {
    nextOwner = Optional.of(target);
  }

  void assign(SliceAssignment value) {
    assignment = Optional.of(value);
    nextOwner = Optional.empty();
    wasAssigned = true;
  }

  void free(long nowMs) {
    assignment = Optional.empty();
    nextOwner = Optional.empty();
    retiring = false;
    freedMs = nowMs;
  }

  /** Records an assignment by an earlier leader whose grant has lapsed. */
  void setLapsedAssignment(SliceAssignment value) {
    lapsedAssignment = Optional.of(value);
  }

  /** Returns the latest assignment by an earlier leader that is known to have lapsed, if any. */
  Optional<SliceAssignment> lapsedAssignment() {
    return lapsedAssignment;
  }

  /** Sets whether the next grant of the owner omits the slice although no next owner is chosen. */
  void setRetiring(boolean value) {
    retiring = value;
  }

  /** Returns whether the owner has to release the slice although no next owner is chosen. */
  boolean isRetiring() {
    return retiring;
  }

  /** Returns whether the owner has to release the slice, with or without a next owner. */
  boolean isReleasePending() {
    return retiring || nextOwner.isPresent();
  }

  /** Returns whether this leader has ever assigned or adopted the slice. */
  boolean wasAssigned() {
    return wasAssigned;
  }

  /**
   * Returns the time, on the clock of this VM, at which the last owner was known not to hold the
   * slice any more.
   */
  long freedMs() {
    return freedMs;
  }

  /** Returns the next owner if a move is pending, otherwise the current owner, if any. */
  Optional<String> effectiveOwner() {
    return nextOwner.or(this::owner);
  }
}
