package org.foxtailford.core.ownership;

import java.util.Optional;
import org.foxtailford.core.slice.SliceKey;

/**
 * What a leader knows of one slice: its owner, or the reading of the clock from which it may be
 * granted.
 *
 * <p>The owner changes only through the {@link SliceTable} that the slice belongs to. Not
 * thread-safe.
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

  /** Notes an assignment by an earlier leader that ran out. */
  void setLapsedAssignment(SliceAssignment value) {
    lapsedAssignment = Optional.of(value);
  }

  /** Returns the latest assignment by an earlier leader that is known to have run out, if any. */
  Optional<SliceAssignment> lapsedAssignment() {
    return lapsedAssignment;
  }

  /** Says whether the assignment ends with the next grant of its owner. */
  void setRetiring(boolean value) {
    retiring = value;
  }

  /** Tells whether the assignment ends without a next owner. */
  boolean isRetiring() {
    return retiring;
  }

  /** Tells whether the owner is to give the slice up. */
  boolean isReleasePending() {
    return retiring || nextOwner.isPresent();
  }

  /** Tells whether this leader had assigned or adopted the slice before. */
  boolean wasAssigned() {
    return wasAssigned;
  }

  /** Returns the reading of the clock at which the last owner was known to hold it no more. */
  long freedMs() {
    return freedMs;
  }

  /** Returns the upstream that holds the slice after the move that is under way, if any. */
  Optional<String> effectiveOwner() {
    return nextOwner.or(this::owner);
  }
}
