package org.foxtailford.core.range;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * One range and how far its move has come: owned, being taken back, free, and owned again once the
 * map with its next owner is written.
 */
final class RangePiece {

  private enum State {
    OWNED,
    RELEASING,
    FREE
  }

  private final KeyRange range;
  private State state = State.FREE;
  private @Nullable RangeOwner owner;
  private long fence;
  private boolean confirmed;
  private long mayHoldUntilMs;
  private long heldBeforeMs;
  private long nextSendMs;
  private boolean inCall;
  private @Nullable RangeOwner target;
  private long movedAtMs = Long.MIN_VALUE / 2;
  private Optional<String> handover = Optional.empty();

  /** Creates a piece that nobody owns. */
  RangePiece(KeyRange range) {
    this.range = range;
  }

  /** Creates a piece that was granted before, perhaps by another leader. */
  static RangePiece owned(RangeAssignment assignment, long mayHoldUntilMs) {
    RangePiece piece = new RangePiece(assignment.range());
    piece.state = State.OWNED;
    piece.owner = assignment.owner();
    piece.fence = assignment.fence();
    piece.mayHoldUntilMs = mayHoldUntilMs;
    return piece;
  }

  /** Returns a piece with part of the keys and the same state. */
  RangePiece part(KeyRange part) {
    RangePiece copy = new RangePiece(part);
    copy.state = state;
    copy.owner = owner;
    copy.fence = fence;
    copy.confirmed = confirmed;
    copy.mayHoldUntilMs = mayHoldUntilMs;
    copy.heldBeforeMs = heldBeforeMs;
    copy.nextSendMs = nextSendMs;
    copy.target = target;
    copy.movedAtMs = movedAtMs;
    copy.handover = handover;
    return copy;
  }

  KeyRange range() {
    return range;
  }

  boolean isOwned() {
    return state == State.OWNED;
  }

  boolean isReleasing() {
    return state == State.RELEASING;
  }

  boolean isFree() {
    return state == State.FREE;
  }

  boolean isOwnedBy(RangeOwner other) {
    return state == State.OWNED && other.equals(owner);
  }

  /** Returns who has the keys, or will have them once the map is written. */
  Optional<RangeOwner> owner() {
    return Optional.ofNullable(owner);
  }

  Optional<RangeOwner> target() {
    return Optional.ofNullable(target);
  }

  void setTarget(@Nullable RangeOwner newTarget) {
    target = newTarget;
  }

  /** Returns whether a target is still to be found. */
  boolean needsTarget() {
    return state == State.FREE && owner == null && target == null;
  }

  /** Returns whether the owner confirmed its grant, and nothing is on its way to it. */
  boolean isSettled(long sinceMs) {
    return state == State.OWNED && confirmed && !inCall && movedAtMs <= sinceMs;
  }

  boolean isConfirmed() {
    return confirmed;
  }

  Optional<String> handover() {
    return handover;
  }

  /** Returns whether the next order may go out. */
  boolean isDue(long nowMs) {
    return !inCall && nowMs >= nextSendMs;
  }

  /** Returns whether the owner's hold time is surely over. */
  boolean isHoldOver(long nowMs) {
    return nowMs >= mayHoldUntilMs;
  }

  /** Notes that a grant goes out; it may hold until a time if it arrives. */
  void grantSent(long holdsUntilMs) {
    inCall = true;
    heldBeforeMs = mayHoldUntilMs;
    mayHoldUntilMs = Math.max(mayHoldUntilMs, holdsUntilMs);
  }

  /** Notes that the last grant holds only until an earlier time, or did not arrive at all. */
  void grantHolds(long holdsUntilMs) {
    mayHoldUntilMs = Math.max(heldBeforeMs, holdsUntilMs);
  }

  void releaseSent() {
    inCall = true;
  }

  void answered(long nextMs) {
    inCall = false;
    nextSendMs = nextMs;
  }

  void confirm() {
    confirmed = true;
    handover = Optional.empty();
  }

  void beginRelease(long nowMs) {
    state = State.RELEASING;
    nextSendMs = nowMs;
    movedAtMs = nowMs;
    handover = Optional.empty();
  }

  void free(Optional<String> newHandover) {
    state = State.FREE;
    owner = null;
    confirmed = false;
    handover = newHandover;
  }

  /** Takes the target as the next owner; it owns nothing until the map is written. */
  void assign(long newFence) {
    owner = target;
    fence = newFence;
  }

  /** Makes the assigned owner the owner, once the map is written. */
  void written(long nowMs) {
    state = State.OWNED;
    target = null;
    confirmed = false;
    mayHoldUntilMs = 0;
    heldBeforeMs = 0;
    nextSendMs = nowMs;
    movedAtMs = nowMs;
  }

  RangeAssignment assignment() {
    return assignment(fence);
  }

  RangeAssignment assignment(long withFence) {
    if (owner == null) {
      throw new IllegalStateException("range " + range + " has no owner");
    }
    return new RangeAssignment(range, owner, withFence);
  }
}
