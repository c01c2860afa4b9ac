package org.foxtailford.core.idempotency;

import java.util.HashMap;
import java.util.Map;
import org.foxtailford.schema.ClaimId;
import org.foxtailford.schema.ClaimState;
import org.foxtailford.schema.HandedClaim;
import org.foxtailford.schema.HandedRecord;

/**
 * State of one request id at one holder: the fingerprint of the request's content and every claim
 * on the id. Not thread-safe.
 */
final class RequestRecord {

  private final long fingerprint;
  private final Map<ClaimId, ClaimState> claims = new HashMap<>();
  private long runDeadlineMs;
  private long modifiedAtMs;

  RequestRecord(long fingerprint, long nowMs) {
    this.fingerprint = fingerprint;
    this.modifiedAtMs = nowMs;
    this.runDeadlineMs = nowMs;
  }

  long fingerprint() {
    return fingerprint;
  }

  long modifiedAtMs() {
    return modifiedAtMs;
  }

  long remainingMs(long nowMs) {
    return Math.max(0, runDeadlineMs - nowMs);
  }

  /**
   * Merges a state of a claim. The higher of the known and the new state is kept, so messages may
   * arrive in any order and more than once.
   */
  void mergeClaim(ClaimId claim, ClaimState state, long deadlineMs, long nowMs) {
    claims.merge(
        claim, state, (known, received) -> received.compareTo(known) > 0 ? received : known);
    runDeadlineMs = Math.max(runDeadlineMs, deadlineMs);
    modifiedAtMs = Math.max(modifiedAtMs, nowMs);
  }

  boolean hasClaimIn(ClaimState state) {
    return claims.containsValue(state);
  }

  /**
   * Returns whether no other claim may have run and the given one hasn't ended. A grant of the
   * given claim by another holder, known from a handover, is not a grant by this holder: the claim
   * is decided like a new one.
   */
  boolean allowsClaim(ClaimId claim) {
    return claims.entrySet().stream()
        .allMatch(
            entry ->
                entry.getKey().equals(claim)
                    ? entry.getValue() == ClaimState.CLAIM_STATE_CLAIMED
                    : entry.getValue() == ClaimState.CLAIM_STATE_RELEASED);
  }

  HandedRecord toHandedRecord(String key, long nowMs) {
    HandedRecord.Builder handed =
        HandedRecord.newBuilder()
            .setKey(key)
            .setFingerprint(fingerprint)
            .setAgeMs((int) (nowMs - modifiedAtMs));
    int runMs = (int) remainingMs(nowMs);
    claims.forEach(
        (claim, state) ->
            handed.addClaims(
                HandedClaim.newBuilder().setClaim(claim).setState(state).setRunMs(runMs)));
    return handed.build();
  }
}
