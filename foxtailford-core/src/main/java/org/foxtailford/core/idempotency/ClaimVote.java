package org.foxtailford.core.idempotency;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimResult;
import org.jspecify.annotations.Nullable;

/**
 * Collects the holders' answers to one claim and decides its outcome: granted by a majority,
 * replayed as soon as a holder returns a kept answer, and refused otherwise. Thread-safe.
 */
final class ClaimVote {

  private static final int RETRY_AFTER_MS = 1000;

  private final int holders;
  private final ClaimTicket ticket;
  private final CompletableFuture<ClaimOutcome> outcome = new CompletableFuture<>();
  private final Set<ClaimResult> results = EnumSet.noneOf(ClaimResult.class);
  private int answers;
  private int grants;
  private long retryAfterMs;
  private boolean decided;

  ClaimVote(int holders, ClaimTicket ticket) {
    this.holders = holders;
    this.ticket = ticket;
  }

  CompletableFuture<ClaimOutcome> outcome() {
    return outcome;
  }

  /** Adds the answer of one holder; {@code null} if the holder couldn't be reached. */
  void add(@Nullable ClaimAnswer answer) {
    ClaimOutcome decision;
    synchronized (this) {
      decision = tally(answer);
      if (decided || decision == null) {
        return;
      }
      decided = true;
    }
    if (!(decision instanceof ClaimOutcome.Granted)) {
      ticket.release();
    }
    outcome.complete(decision);
  }

  private @Nullable ClaimOutcome tally(@Nullable ClaimAnswer answer) {
    answers++;
    if (answer != null) {
      results.add(answer.getResult());
      retryAfterMs = Math.max(retryAfterMs, answer.getRetryAfterMs());
      if (answer.getResult() == ClaimResult.CLAIM_RESULT_GRANTED) {
        grants++;
      }
      if (answer.hasAnswer()) {
        return new ClaimOutcome.Replayed(answer.getAnswer());
      }
    }
    if (grants >= RosterView.quorum(holders)) {
      return new ClaimOutcome.Granted(ticket);
    }
    return answers == holders ? selectRefusal() : null;
  }

  private ClaimOutcome selectRefusal() {
    if (results.contains(ClaimResult.CLAIM_RESULT_ANSWERED)) {
      return refused(ResultCode.ANSWER_NOT_KEPT, "the answer to this request id is gone", 0);
    }
    if (results.contains(ClaimResult.CLAIM_RESULT_ID_REUSED)) {
      return refused(ResultCode.REQUEST_ID_REUSED, "the request id came with other content", 0);
    }
    if (results.contains(ClaimResult.CLAIM_RESULT_UNKNOWN)) {
      return refused(ResultCode.OUTCOME_UNKNOWN, "an earlier send of this id may have run", 0);
    }
    if (results.contains(ClaimResult.CLAIM_RESULT_IN_PROGRESS)) {
      return refused(
          ResultCode.REQUEST_IN_PROGRESS, "a request with this id is running", retryAfterMs);
    }
    if (results.contains(ClaimResult.CLAIM_RESULT_INCOMPLETE)) {
      return refused(
          ResultCode.OUTCOME_UNKNOWN,
          "the record of this request id may be lost; it did not run now",
          RETRY_AFTER_MS);
    }
    if (results.contains(ClaimResult.CLAIM_RESULT_FULL)) {
      return refused(ResultCode.OVERLOADED, "too many request ids are held", RETRY_AFTER_MS);
    }
    return refused(
        ResultCode.RECORDS_UNREACHABLE,
        "too few holders of request ids can be reached",
        RETRY_AFTER_MS);
  }

  private static ClaimOutcome refused(ResultCode code, String message, long retryAfterMs) {
    return new ClaimOutcome.Refused(code, message, retryAfterMs);
  }
}
