package org.foxtailford.daemon.idempotency;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.idempotency.ClaimContent;
import org.foxtailford.core.idempotency.ClaimCoordinator;
import org.foxtailford.core.idempotency.ClaimOutcome;
import org.foxtailford.core.idempotency.ClaimTicket;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.result.RetryLaterException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;

/**
 * Runs an attempt only under a claim on its request id, and reports its outcome to the record
 * holders. Thread-safe.
 */
final class ClaimedAttemptRunner {

  private final ClaimCoordinator coordinator;
  private final RouterMetrics metrics;

  ClaimedAttemptRunner(ClaimCoordinator coordinator, RouterMetrics metrics) {
    this.coordinator = Assert.notNull(coordinator, "coordinator");
    this.metrics = Assert.notNull(metrics, "metrics");
  }

  /**
   * Claims a request id and, if the claim is granted, runs the attempt.
   *
   * @param content identifies the request and its content
   * @param attempt sends the request; called at most once
   * @return the upstream's answer, or the recorded one of an earlier run; fails with a result code
   *     otherwise. Cancelling it cancels the attempt.
   */
  CompletableFuture<HttpAnswer> run(
      ClaimContent content, Supplier<CompletableFuture<HttpAnswer>> attempt) {
    CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    coordinator.claim(content).thenAccept(outcome -> handleOutcome(outcome, attempt, result));
    return result;
  }

  private void handleOutcome(
      ClaimOutcome outcome,
      Supplier<CompletableFuture<HttpAnswer>> attempt,
      CompletableFuture<HttpAnswer> result) {
    if (outcome instanceof ClaimOutcome.Granted granted) {
      metrics.claim("GRANTED");
      startClaimed(granted.ticket(), attempt, result);
    } else if (outcome instanceof ClaimOutcome.Replayed replayed) {
      metrics.claim("REPLAYED");
      result.complete(KeptAnswerConverter.toAnswer(replayed.answer()));
    } else if (outcome instanceof ClaimOutcome.Refused refused) {
      metrics.claim(refused.code().name());
      result.completeExceptionally(toFailure(refused));
    }
  }

  private static ResultCodeException toFailure(ClaimOutcome.Refused refused) {
    return refused.retryAfterMs() > 0
        ? new RetryLaterException(refused.code(), refused.message(), refused.retryAfterMs())
        : new ResultCodeException(refused.code(), refused.message());
  }

  private static void startClaimed(
      ClaimTicket ticket,
      Supplier<CompletableFuture<HttpAnswer>> attempt,
      CompletableFuture<HttpAnswer> result) {
    if (result.isDone() || !ticket.mayStart()) {
      ticket.release();
      result.completeExceptionally(
          new ResultCodeException(ResultCode.DEADLINE_EXPIRED, "the deadline has passed"));
      return;
    }
    CompletableFuture<HttpAnswer> running = startAttempt(attempt);
    running.whenComplete(
        (answer, failure) -> {
          if (failure == null) {
            ticket.endAnswered(KeptAnswerConverter.toKept(answer));
            result.complete(answer);
          } else {
            endFailed(ticket, ResultCodeException.codeOf(failure));
            result.completeExceptionally(failure);
          }
        });
    result.whenComplete((answer, failure) -> running.cancel(true));
  }

  /**
   * Starts the attempt and turns an exception into a failed future: the claim must end in that case
   * too, otherwise the caller would wait forever.
   */
  private static CompletableFuture<HttpAnswer> startAttempt(
      Supplier<CompletableFuture<HttpAnswer>> attempt) {
    try {
      return attempt.get();
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static void endFailed(ClaimTicket ticket, ResultCode code) {
    if (code.effect() == Effect.NOT_RUN) {
      ticket.release();
    } else {
      ticket.endUnknown();
    }
  }
}
