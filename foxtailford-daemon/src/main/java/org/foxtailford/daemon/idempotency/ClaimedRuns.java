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

/** Runs an attempt only under a claim on its request id, and records how it ended. Thread-safe. */
final class ClaimedRuns {

  private final ClaimCoordinator coordinator;
  private final RouterMetrics metrics;

  ClaimedRuns(ClaimCoordinator coordinator, RouterMetrics metrics) {
    this.coordinator = Assert.notNull(coordinator, "coordinator");
    this.metrics = Assert.notNull(metrics, "metrics");
  }

  /**
   * Claims the right to run a request and then runs it.
   *
   * @param content the request
   * @param attempt sends it; called at most once
   * @return the upstream's answer, now or kept; fails with a result code otherwise. To cancel it
   *     cancels the attempt.
   */
  CompletableFuture<HttpAnswer> run(
      ClaimContent content, Supplier<CompletableFuture<HttpAnswer>> attempt) {
    CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
    coordinator.claim(content).thenAccept(outcome -> proceed(outcome, attempt, result));
    return result;
  }

  private void proceed(
      ClaimOutcome outcome,
      Supplier<CompletableFuture<HttpAnswer>> attempt,
      CompletableFuture<HttpAnswer> result) {
    if (outcome instanceof ClaimOutcome.Granted granted) {
      metrics.claim("GRANTED");
      start(granted.ticket(), attempt, result);
    } else if (outcome instanceof ClaimOutcome.Replayed replayed) {
      metrics.claim("REPLAYED");
      result.complete(KeptAnswers.toAnswer(replayed.answer()));
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

  private static void start(
      ClaimTicket ticket,
      Supplier<CompletableFuture<HttpAnswer>> attempt,
      CompletableFuture<HttpAnswer> result) {
    if (result.isDone() || !ticket.mayStart()) {
      ticket.release();
      result.completeExceptionally(
          new ResultCodeException(ResultCode.DEADLINE_EXPIRED, "the deadline has passed"));
      return;
    }
    CompletableFuture<HttpAnswer> sent = started(attempt);
    sent.whenComplete(
        (answer, failure) -> {
          if (failure == null) {
            ticket.endAnswered(KeptAnswers.of(answer));
            result.complete(answer);
          } else {
            end(ticket, ResultCodeException.codeOf(failure));
            result.completeExceptionally(failure);
          }
        });
    result.whenComplete((answer, failure) -> sent.cancel(true));
  }

  /** A failure to start must end the claim too; otherwise its caller waits for ever. */
  private static CompletableFuture<HttpAnswer> started(
      Supplier<CompletableFuture<HttpAnswer>> attempt) {
    try {
      return attempt.get();
    } catch (RuntimeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private static void end(ClaimTicket ticket, ResultCode code) {
    if (code.effect() == Effect.NOT_RUN) {
      ticket.release();
    } else {
      ticket.endUnknown();
    }
  }
}
