package org.foxtailford.core.idempotency;

import java.util.HashMap;
import java.util.Map;
import org.foxtailford.schema.ClaimId;
import org.foxtailford.schema.ClaimState;
import org.foxtailford.schema.HandedClaim;
import org.foxtailford.schema.HandedRecord;

/**
 * What one holder knows of one request id: its content's fingerprint and every claim on it. Not
 * thread-safe.
 */
final class RequestRecord {

  private final long fingerprint;
  private final Map<ClaimId, ClaimState> claims = new HashMap<>();
  private long runUntilMs;
  private long touchedMs;

  RequestRecord(long fingerprint, long nowMs) {
    this.fingerprint = fingerprint;
    this.touchedMs = nowMs;
    this.runUntilMs = nowMs;
  }

  long fingerprint() {
    return fingerprint;
  }

  long touchedMs() {
    return touchedMs;
  }

  long remainingMs(long nowMs) {
    return Math.max(0, runUntilMs - nowMs);
  }

  /** Notes a state of a claim; a later state of the same claim is never undone by an earlier. */
  void join(ClaimId claim, ClaimState state, long untilMs, long nowMs) {
    claims.merge(claim, state, (known, heard) -> heard.compareTo(known) > 0 ? heard : known);
    runUntilMs = Math.max(runUntilMs, untilMs);
    touchedMs = Math.max(touchedMs, nowMs);
  }

  boolean has(ClaimState state) {
    return claims.containsValue(state);
  }

  /**
   * Tells whether no other claim may have run and this one hasn't ended. A claim that another
   * holder granted and handed over counts for nothing here: it is decided on like a new one.
   */
  boolean isFreeFor(ClaimId claim) {
    return claims.entrySet().stream()
        .allMatch(
            e ->
                e.getKey().equals(claim)
                    ? e.getValue() == ClaimState.CLAIM_STATE_CLAIMED
                    : e.getValue() == ClaimState.CLAIM_STATE_RELEASED);
  }

  HandedRecord toHanded(String key, long nowMs) {
    HandedRecord.Builder handed =
        HandedRecord.newBuilder()
            .setKey(key)
            .setFingerprint(fingerprint)
            .setAgeMs((int) (nowMs - touchedMs));
    int runMs = (int) remainingMs(nowMs);
    claims.forEach(
        (claim, state) ->
            handed.addClaims(
                HandedClaim.newBuilder().setClaim(claim).setState(state).setRunMs(runMs)));
    return handed.build();
  }
}
