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
 * Stands before each attempt at an upstream: refuses poison requests, runs suspects one after the
 * other, and runs non-idempotent requests only under a claim on their id. Thread-safe.
 */
public final class RequestGuard implements AttemptGuard {

  private final ClaimedRuns claims;
  private final PoisonTracker poison;
  private final Consumer<PoisonReport> reports;
  private final RouterMetrics metrics;
  private final MillisClock clock;

  /**
   * Creates a guard.
   *
   * @param coordinator claims request ids
   * @param poison finds poison requests
   * @param reports tells the other entry VMs of suspects
   * @param metrics counts refusals
   * @param clock this VM's clock
   */
  public RequestGuard(
      ClaimCoordinator coordinator,
      PoisonTracker poison,
      Consumer<PoisonReport> reports,
      RouterMetrics metrics,
      MillisClock clock) {
    this.claims = new ClaimedRuns(coordinator, metrics);
    this.poison = Assert.notNull(poison, "poison");
    this.reports = Assert.notNull(reports, "reports");
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
    long fingerprint = RequestFingerprint.of(exchange, attributes);
    PoisonVerdict verdict = poison.verdict(fingerprint);
    if (verdict != PoisonVerdict.CLEAR) {
      metrics.poison(verdict.name());
    }
    if (verdict == PoisonVerdict.POISON) {
      return failed(ResultCode.POISON_REQUEST, "upstreams were lost while they ran this request");
    }
    boolean trial = verdict == PoisonVerdict.SUSPECT;
    if (trial && !poison.tryBeginTrial(fingerprint)) {
      return failed(ResultCode.OVERLOADED, "another request under suspicion is running");
    }
    Supplier<CompletableFuture<HttpAnswer>> watched = () -> watch(fingerprint, upstream, attempt);
    CompletableFuture<HttpAnswer> answer =
        idempotent || attributes.requestId().isEmpty()
            ? watched.get()
            : claims.run(contentOf(exchange, attributes, fingerprint), watched);
    if (trial) {
      answer.whenComplete((received, failure) -> poison.endTrial(fingerprint));
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

  private CompletableFuture<HttpAnswer> watch(
      long fingerprint, String upstream, Supplier<CompletableFuture<HttpAnswer>> attempt) {
    CompletableFuture<HttpAnswer> sent = attempt.get();
    sent.whenComplete((answer, failure) -> onEnd(fingerprint, upstream, failure));
    return sent;
  }

  private void onEnd(long fingerprint, String upstream, Throwable failure) {
    if (failure == null) {
      poison.recordAnswer(fingerprint);
      return;
    }
    ResultCode code = ResultCodeException.codeOf(failure);
    if (code == ResultCode.OUTCOME_UNKNOWN || code == ResultCode.TRUNCATED_ANSWER) {
      send(poison.recordConnectionLoss(upstream, fingerprint));
    } else if (code == ResultCode.UPSTREAM_UNREACHABLE && isConnectionRefused(failure)) {
      send(poison.recordUpstreamLoss(upstream));
    }
  }

  /** Notes that an upstream was found to have started again without warning. */
  public void onUpstreamRestarted(String upstream) {
    send(poison.recordUpstreamLoss(upstream));
  }

  /** A connection that isn't answered may be the network's fault; a refused one is not. */
  private static boolean isConnectionRefused(Throwable failure) {
    for (Throwable t = failure; t != null; t = t.getCause()) {
      if (t instanceof ConnectException) {
        return !(t instanceof ConnectTimeoutException);
      }
    }
    return false;
  }

  private void send(Optional<PoisonReport> report) {
    report.ifPresent(
        r -> {
          metrics.poisonReport();
          reports.accept(r);
        });
  }

  private static CompletableFuture<HttpAnswer> failed(ResultCode code, String message) {
    return CompletableFuture.failedFuture(new ResultCodeException(code, message));
  }
}
