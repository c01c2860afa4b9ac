package org.foxtailford.daemon.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.foxtailford.core.admission.AdmissionRefusal;
import org.foxtailford.core.admission.ByteBudget;
import org.foxtailford.core.admission.PriorityThreshold;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.result.RetryLaterException;
import org.foxtailford.core.retry.RetryAfter;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.foxtailford.schema.RequestKind;

/**
 * The way of one request from its arrival to its answer: admission, attempts, and the answer with
 * its result code. A refusal is answered at once and says when to come back. Thread-safe.
 */
public final class RequestPath {

  private static final int MS_PER_SECOND = 1000;

  private final RequestAttempts attempts;
  private final Supplier<RoutingSnapshot> snapshots;
  private final PriorityThreshold threshold;
  private final ByteBudget bodies;
  private final RetryAfter retryAfter;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean stopping;

  /**
   * Creates the path.
   *
   * @param attempts runs admitted requests
   * @param snapshots gives the state that requests are classified by
   * @param threshold most requests in flight, by worth
   * @param bodies memory for the bodies of requests in flight
   * @param retryAfter tells refused callers when to come back
   * @param metrics counts requests and refusals
   * @param clock this VM's clock
   */
  public RequestPath(
      RequestAttempts attempts,
      Supplier<RoutingSnapshot> snapshots,
      PriorityThreshold threshold,
      ByteBudget bodies,
      RetryAfter retryAfter,
      RouterMetrics metrics,
      MillisClock clock) {
    this.attempts = Assert.notNull(attempts, "attempts");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.threshold = Assert.notNull(threshold, "threshold");
    this.bodies = Assert.notNull(bodies, "bodies");
    this.retryAfter = Assert.notNull(retryAfter, "retryAfter");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Refuses new requests from now on. */
  public void stopAccepting() {
    stopping = true;
  }

  /** Returns the number of requests that have no answer yet. */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Serves a request.
   *
   * @return the answer, which tells its own result; fails only if it is cancelled, which gives up
   *     the request
   */
  public CompletableFuture<HttpAnswer> serve(HttpExchange exchange, RequestAttributes attributes) {
    long startedMs = clock.nowMs();
    CompletableFuture<HttpAnswer> running = admit(exchange, attributes);
    CompletableFuture<HttpAnswer> answer =
        running.handle((received, failure) -> finish(attributes, startedMs, received, failure));
    answer.whenComplete((received, failure) -> running.cancel(false));
    return answer;
  }

  /**
   * Serves a request that another entry VM relayed.
   *
   * @return the answer; never fails; to cancel it gives up the request
   */
  public CompletableFuture<RelayAnswer> serveRelayed(
      RelayRequest request, RequestClassifier classifier) {
    CompletableFuture<HttpAnswer> running = runRelayed(request, classifier);
    CompletableFuture<RelayAnswer> answer =
        running.handle(
            (received, failure) ->
                failure == null ? RelaySender.toRelay(received) : RelaySender.toRelay(failure));
    answer.whenComplete((received, failure) -> running.cancel(false));
    return answer;
  }

  private CompletableFuture<HttpAnswer> runRelayed(
      RelayRequest request, RequestClassifier classifier) {
    HttpExchange exchange = RelaySender.toExchange(request);
    long deadlineMs = clock.nowMs() + request.getRemainingMs();
    try {
      return admit(exchange, classifier.classify(exchange, deadlineMs, request.getHops()));
    } catch (ResultCodeException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<HttpAnswer> admit(HttpExchange exchange, RequestAttributes attributes) {
    if (stopping) {
      return failed(ResultCode.STOPPING, "this VM is stopping");
    }
    int worth = kind(attributes).map(RequestKind::getWorth).orElse(0);
    int before = inFlight.getAndIncrement();
    if (!threshold.admits(before, worth)) {
      inFlight.decrementAndGet();
      return limited(AdmissionRefusal.IN_FLIGHT, "too many requests in flight");
    }
    int bodyBytes = exchange.body().length;
    if (!bodies.tryReserve(bodyBytes)) {
      inFlight.decrementAndGet();
      return limited(AdmissionRefusal.BODY_MEMORY, "too many bytes in flight");
    }
    CompletableFuture<HttpAnswer> running = attempts.run(exchange, attributes);
    running.whenComplete(
        (received, failure) -> {
          bodies.release(bodyBytes);
          inFlight.decrementAndGet();
        });
    return running;
  }

  private CompletableFuture<HttpAnswer> limited(AdmissionRefusal reason, String message) {
    metrics.limited(reason);
    return failed(ResultCode.OVERLOADED, message);
  }

  private HttpAnswer finish(
      RequestAttributes attributes, long startedMs, HttpAnswer received, Throwable failure) {
    ResultCode code = failure == null ? ResultCode.OK : ResultCodeException.codeOf(failure);
    long elapsedMs = clock.nowMs() - startedMs;
    kind(attributes)
        .ifPresent(
            kind ->
                metrics.request(
                    attributes.service(), attributes.kind(), kind.getWorth(), code, elapsedMs));
    if (failure == null) {
      return Answers.marked(received, ResultCode.OK);
    }
    metrics.refusal(code);
    HttpAnswer refusal = Answers.of(code, RelaySender.messageOf(failure));
    RetryLaterException.findRetryAfterMs(failure)
        .or(() -> retryAfter.suggest(code))
        .ifPresent(waitMs -> setRetryAfter(refusal, waitMs));
    return refusal;
  }

  private static void setRetryAfter(HttpAnswer refusal, long waitMs) {
    long seconds = (waitMs + MS_PER_SECOND - 1) / MS_PER_SECOND;
    refusal
        .headers()
        .set(FoxtailHeaders.RETRY_AFTER_MS, waitMs)
        .set(HttpHeaderNames.RETRY_AFTER, seconds);
  }

  private Optional<RequestKind> kind(RequestAttributes attributes) {
    return snapshots
        .get()
        .configuration()
        .findService(attributes.service())
        .map(service -> service.kinds().get(attributes.kind()));
  }

  private static CompletableFuture<HttpAnswer> failed(ResultCode code, String message) {
    return CompletableFuture.failedFuture(new ResultCodeException(code, message));
  }
}
