package org.foxtailford.core.range;

import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * Range with the state of its ownership: owned, being released, free, and owned again once the map
 * with its next owner is written. Not thread-safe.
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
  private boolean newFencePending;
  private long grantExpiryMs;
  private long previousExpiryMs;
  private long nextCommandMs;
  private OptionalLong commandInFlight = OptionalLong.empty();
  private @Nullable RangeOwner target;
  private long movedAtMs = Long.MIN_VALUE / 2;
  private Optional<String> handover = Optional.empty();
  private long heldBackUntilMs = Long.MIN_VALUE;
  private int missingProofs;

  /** Creates a piece without an owner. */
  RangePiece(KeyRange range) {
    this.range = range;
  }

  /**
   * Creates a piece that was granted before, perhaps by another leader. It needs a new fence before
   * its grant is renewed.
   *
   * @param grantExpiryMs latest time until which earlier grants may be in force, in milliseconds
   */
  static RangePiece owned(RangeAssignment assignment, long grantExpiryMs) {
    RangePiece piece = new RangePiece(assignment.range());
    piece.state = State.OWNED;
    piece.owner = assignment.owner();
    piece.fence = assignment.fence();
    piece.grantExpiryMs = grantExpiryMs;
    piece.needsFence = true;
    return piece;
  }

  /** Returns a piece with part of the keys and the same state, but without a command in flight. */
  RangePiece part(KeyRange part) {
    RangePiece copy = new RangePiece(part);
    copy.state = state;
    copy.owner = owner;
    copy.fence = fence;
    copy.session = session;
    copy.needsFence = needsFence;
    copy.grantExpiryMs = grantExpiryMs;
    copy.previousExpiryMs = previousExpiryMs;
    copy.nextCommandMs = nextCommandMs;
    copy.target = target;
    copy.movedAtMs = movedAtMs;
    copy.handover = handover;
    copy.heldBackUntilMs = heldBackUntilMs;
    copy.missingProofs = missingProofs;
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

  /** Returns the owner of the keys, or their next owner while the map is not written yet. */
  Optional<RangeOwner> owner() {
    return Optional.ofNullable(owner);
  }

  Optional<RangeOwner> target() {
    return Optional.ofNullable(target);
  }

  void setTarget(@Nullable RangeOwner newTarget) {
    target = newTarget;
  }

  /** Returns whether the piece is free and has neither a next owner nor a target. */
  boolean needsTarget() {
    return state == State.FREE && owner == null && target == null;
  }

  /**
   * Returns whether the owner has confirmed its grant, no command to it is in flight, and the piece
   * last moved at a given time or earlier.
   */
  boolean isSettled(long sinceMs) {
    return state == State.OWNED
        && session.isPresent()
        && !needsFence
        && missingProofs == 0
        && commandInFlight.isEmpty()
        && movedAtMs <= sinceMs;
  }

  /**
   * Requires a proof that the owner has seen no command of another leader: a renewal under its
   * present fence that is sent and accepted from now on. Without it, there is no new fence and no
   * new owner until a given time, in milliseconds.
   */
  void requireProof(long untilMs) {
    boolean renewable = state == State.OWNED && session.isPresent() && !needsFence;
    if (!renewable) {
      requireNewFence(); // what was written for the present one may be lost
    }
    missingProofs = !renewable ? Integer.MAX_VALUE : commandInFlight.isPresent() ? 2 : 1;
    heldBackUntilMs = untilMs;
  }

  /** Returns whether a required proof is missing and may still come. */
  boolean isHeldBack(long nowMs) {
    return missingProofs > 0 && nowMs < heldBackUntilMs;
  }

  /** Returns the connection over which the keys were granted under the current fence. */
  OptionalLong session() {
    return session;
  }

  /** Returns whether a new fence for the same owner is to be written now. */
  boolean isFenceDue(long nowMs) {
    return state == State.OWNED && needsFence && !isHeldBack(nowMs) && isCommandDue(nowMs);
  }

  boolean isGrantDue(long nowMs) {
    return state == State.OWNED
        && !needsFence
        && (session.isPresent() || !isHeldBack(nowMs))
        && isCommandDue(nowMs);
  }

  /**
   * Requires a new fence before the next grant, since the owner may be another incarnation by now,
   * which must not be granted keys under an old fence.
   */
  void requireNewFence() {
    needsFence = true;
    session = OptionalLong.empty();
    missingProofs = missingProofs > 0 ? Integer.MAX_VALUE : 0;
  }

  /** Sets a new fence for the same owner, which takes effect once the map is written. */
  void renewFence(long newFence) {
    fence = newFence;
    missingProofs = 0;
    newFencePending = true;
  }

  Optional<String> handover() {
    return handover;
  }

  /**
   * Returns whether a command waits for its answer. One that was sent to an earlier owner, or for
   * the range before it was divided, doesn't.
   */
  boolean isInFlight(long command) {
    return commandInFlight.isPresent() && commandInFlight.getAsLong() == command;
  }

  /** Returns whether the next command may be sent. */
  boolean isCommandDue(long nowMs) {
    return commandInFlight.isEmpty() && nowMs >= nextCommandMs;
  }

  /** Returns whether all grants to the owner have certainly expired. */
  boolean isGrantExpired(long nowMs) {
    return nowMs >= grantExpiryMs;
  }

  /** Records that a grant is sent, which may be in force until a given time if it arrives. */
  void onGrantSent(long command, long expiryMs) {
    commandInFlight = OptionalLong.of(command);
    previousExpiryMs = grantExpiryMs;
    grantExpiryMs = Math.max(grantExpiryMs, expiryMs);
  }

  /**
   * Corrects the expiry of the last grant to an earlier time.
   *
   * @param expiryMs expiry of the last grant, in milliseconds; 0 if it did not arrive
   */
  void correctGrantExpiry(long expiryMs) {
    grantExpiryMs = Math.max(previousExpiryMs, expiryMs);
  }

  void onReleaseSent(long command) {
    commandInFlight = OptionalLong.of(command);
  }

  void onAnswer(long dueMs) {
    commandInFlight = OptionalLong.empty();
    nextCommandMs = dueMs;
  }

  void confirmGrant(OptionalLong newSession) {
    session = newSession;
    handover = Optional.empty();
    missingProofs = Math.max(0, missingProofs - 1);
  }

  void beginRelease(long nowMs) {
    state = State.RELEASING;
    missingProofs = missingProofs > 0 ? Integer.MAX_VALUE : 0;
    newFencePending = false;
    nextCommandMs = nowMs;
    movedAtMs = nowMs;
    handover = Optional.empty();
  }

  void free(Optional<String> newHandover) {
    state = State.FREE;
    owner = null;
    commandInFlight = OptionalLong.empty();
    requireNewFence();
    newFencePending = false;
    handover = newHandover;
  }

  /** Makes the target the next owner, which owns nothing until the map is written. */
  void assign(long newFence) {
    owner = target;
    fence = newFence;
    missingProofs = 0;
  }

  /** Returns whether the next map that is written gives the piece a new owner or fence. */
  boolean isWritePending() {
    return state == State.FREE && owner != null || state == State.OWNED && newFencePending;
  }

  /**
   * Makes the new owner or fence effective after the map has been written. A fence that was chosen
   * before a proof was required may be too low by the time at which the piece is no longer held
   * back, so that another one is needed then.
   */
  void onMapWritten(long nowMs) {
    session = OptionalLong.empty();
    needsFence = missingProofs > 0;
    newFencePending = false;
    nextCommandMs = nowMs;
    if (state == State.OWNED) {
      return;
    }
    state = State.OWNED;
    target = null;
    grantExpiryMs = 0;
    previousExpiryMs = 0;
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
