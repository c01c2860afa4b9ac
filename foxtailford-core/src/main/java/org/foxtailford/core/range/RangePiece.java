package org.foxtailford.core.range;

import java.util.Optional;
import java.util.OptionalLong;
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
  private OptionalLong session = OptionalLong.empty();
  private boolean needsFence;
  private boolean fencePending;
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
    piece.needsFence = true;
    return piece;
  }

  /** Returns a piece with part of the keys and the same state. */
  RangePiece part(KeyRange part) {
    RangePiece copy = new RangePiece(part);
    copy.state = state;
    copy.owner = owner;
    copy.fence = fence;
    copy.session = session;
    copy.needsFence = needsFence;
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
    return state == State.OWNED
        && session.isPresent()
        && !needsFence
        && !inCall
        && movedAtMs <= sinceMs;
  }

  /** Returns the connection over which the keys were granted under the present fence. */
  OptionalLong session() {
    return session;
  }

  /** Returns whether the keys are to be granted to their owner under a new fence. */
  boolean isFenceDue(long nowMs) {
    return state == State.OWNED && needsFence && isDue(nowMs);
  }

  boolean isGrantDue(long nowMs) {
    return state == State.OWNED && !needsFence && isDue(nowMs);
  }

  /** Notes that the owner may be another life by now, which must not get an old fence. */
  void distrust() {
    needsFence = true;
    session = OptionalLong.empty();
  }

  /** Takes a new fence for the same owner; it counts once the map is written. */
  void renewFence(long newFence) {
    fence = newFence;
    fencePending = true;
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

  void confirm(OptionalLong newSession) {
    session = newSession;
    handover = Optional.empty();
  }

  void beginRelease(long nowMs) {
    state = State.RELEASING;
    fencePending = false;
    nextSendMs = nowMs;
    movedAtMs = nowMs;
    handover = Optional.empty();
  }

  void free(Optional<String> newHandover) {
    state = State.FREE;
    owner = null;
    distrust();
    fencePending = false;
    handover = newHandover;
  }

  /** Takes the target as the next owner; it owns nothing until the map is written. */
  void assign(long newFence) {
    owner = target;
    fence = newFence;
  }

  /** Returns whether the written map gives it a new owner or fence. */
  boolean isWritePending() {
    return state == State.FREE && owner != null || state == State.OWNED && fencePending;
  }

  /** Takes the new owner or fence, once the map is written. */
  void written(long nowMs) {
    session = OptionalLong.empty();
    needsFence = false;
    fencePending = false;
    nextSendMs = nowMs;
    if (state == State.OWNED) {
      return;
    }
    state = State.OWNED;
    target = null;
    mayHoldUntilMs = 0;
    heldBeforeMs = 0;
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
