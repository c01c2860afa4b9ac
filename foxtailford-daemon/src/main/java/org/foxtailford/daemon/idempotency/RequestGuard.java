package org.foxtailford.daemon.idempotency;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.foxtailford.core.idempotency.ClaimContent;
import org.foxtailford.core.idempotency.ClaimCoordinator;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.poison.PoisonVerdict;
import org.foxtailford.core.poison.RequestFingerprint;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.request.AttemptGuard;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.PoisonReport;

/**
 * Guards each attempt at an upstream: refuses poison requests, runs suspected ones one at a time,
 * and runs non-idempotent requests that have an id only under a claim on it. Thread-safe.
 */
public final class RequestGuard implements AttemptGuard {

  private final ClaimedAttemptRunner claimRunner;
  private final PoisonTracker poisonTracker;
  private final Consumer<PoisonReport> reportSender;
  private final RouterMetrics metrics;
  private final MillisClock clock;

  /**
   * Creates a guard.
   *
   * @param coordinator claims request ids
   * @param poisonTracker detects poison requests
   * @param reportSender sends reports of suspects to the other entry VMs
   * @param metrics counts claims, verdicts and reports
   * @param clock clock of this VM, for the time left to a request
   */
  public RequestGuard(
      ClaimCoordinator coordinator,
      PoisonTracker poisonTracker,
      Consumer<PoisonReport> reportSender,
      RouterMetrics metrics,
      MillisClock clock) {
    this.claimRunner = new ClaimedAttemptRunner(coordinator, metrics);
    this.poisonTracker = Assert.notNull(poisonTracker, "poisonTracker");
    this.reportSender = Assert.notNull(reportSender, "reportSender");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  @Override
  public CompletableFuture<HttpAnswer> run(
      HttpExchange exchange,
      RequestAttributes attributes,
      boolean idempotent,
      String upstream,
      Supplier<CompletableFuture<HttpAnswer>> attempt) {
    long fingerprint =
        RequestFingerprint.of(
            exchange.method().name(), exchange.uri(), attributes.key().orElse(""), exchange.body());
    PoisonVerdict verdict = poisonTracker.verdict(fingerprint);
    if (verdict != PoisonVerdict.CLEAR) {
      metrics.poison(verdict.name());
    }
    if (verdict == PoisonVerdict.POISON) {
      return failed(ResultCode.POISON_REQUEST, "upstreams were lost while they ran this request");
    }
    boolean isSuspect = verdict == PoisonVerdict.SUSPECT;
    if (isSuspect && !poisonTracker.tryBeginTrial(fingerprint)) {
      return failed(ResultCode.OVERLOADED, "another request under suspicion is running");
    }
    Supplier<CompletableFuture<HttpAnswer>> trackedAttempt =
        () -> runTracked(fingerprint, upstream, attempt);
    CompletableFuture<HttpAnswer> answer =
        idempotent || attributes.requestId().isEmpty()
            ? trackedAttempt.get()
            : claimRunner.run(contentOf(exchange, attributes, fingerprint), trackedAttempt);
    if (isSuspect) {
      answer.whenComplete((received, failure) -> poisonTracker.endTrial(fingerprint));
    }
    return answer;
  }

  private ClaimContent contentOf(
      HttpExchange exchange, RequestAttributes attributes, long fingerprint) {
    boolean firstSend = "true".equals(exchange.headers().get(FoxtailHeaders.FIRST_SEND));
    return new ClaimContent(
        attributes.service(),
        attributes.requestId().orElseThrow(),
        fingerprint,
        firstSend,
        Math.max(0, attributes.deadlineMs() - clock.nowMs()));
  }

  private CompletableFuture<HttpAnswer> runTracked(
      long fingerprint, String upstream, Supplier<CompletableFuture<HttpAnswer>> attempt) {
    CompletableFuture<HttpAnswer> running = attempt.get();
    running.whenComplete((answer, failure) -> onAttemptEnd(fingerprint, upstream, failure));
    return running;
  }

  private void onAttemptEnd(long fingerprint, String upstream, Throwable failure) {
    if (failure == null) {
      poisonTracker.recordAnswer(fingerprint);
      return;
    }
    ResultCode code = ResultCodeException.codeOf(failure);
    if (code == ResultCode.OUTCOME_UNKNOWN || code == ResultCode.TRUNCATED_ANSWER) {
      sendReport(poisonTracker.recordConnectionLoss(upstream, fingerprint));
    } else if (code == ResultCode.UPSTREAM_UNREACHABLE && isConnectionRefused(failure)) {
      sendReport(poisonTracker.recordUpstreamLoss(upstream));
    }
  }

  /** Records the loss of an upstream that restarted without notice. */
  public void onUpstreamRestarted(String upstream) {
    sendReport(poisonTracker.recordUpstreamLoss(upstream));
  }

  /**
   * Returns whether the upstream refused the connection. A connect timeout doesn't count, since the
   * network may have caused it.
   */
  private static boolean isConnectionRefused(Throwable failure) {
    for (Throwable t = failure; t != null; t = t.getCause()) {
      if (t instanceof ConnectException) {
        return !(t instanceof ConnectTimeoutException);
      }
    }
    return false;
  }

  private void sendReport(Optional<PoisonReport> report) {
    report.ifPresent(
        suspectReport -> {
          metrics.poisonReport();
          reportSender.accept(suspectReport);
        });
  }

  private static CompletableFuture<HttpAnswer> failed(ResultCode code, String message) {
    return CompletableFuture.failedFuture(new ResultCodeException(code, message));
  }
}
