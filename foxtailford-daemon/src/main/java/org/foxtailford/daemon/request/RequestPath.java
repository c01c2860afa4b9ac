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
 * Processes requests from arrival to answer: admits them, passes them to the executor, and sets the
 * result code of the answer. A failure is answered at once, with the time after which to retry
 * where a retry makes sense. Thread-safe.
 */
public final class RequestPath {

  private static final int MS_PER_SECOND = 1000;

  private final RequestExecutor executor;
  private final Supplier<RoutingSnapshot> snapshots;
  private final PriorityThreshold threshold;
  private final ByteBudget bodyBudget;
  private final RetryAfter retryAfter;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean stopping;
  private volatile long lastDeadlineMs = Long.MAX_VALUE;

  /**
   * Creates the path.
   *
   * @param executor executes admitted requests
   * @param snapshots supplies the configuration with the priority of each kind
   * @param threshold maximum number of requests in flight, by priority
   * @param bodyBudget limits the total size of the bodies of requests in flight
   * @param retryAfter computes the time after which a refused caller should retry
   * @param metrics counts requests and refusals
   * @param clock this VM's clock
   */
  public RequestPath(
      RequestExecutor executor,
      Supplier<RoutingSnapshot> snapshots,
      PriorityThreshold threshold,
      ByteBudget bodyBudget,
      RetryAfter retryAfter,
      RouterMetrics metrics,
      MillisClock clock) {
    this.executor = Assert.notNull(executor, "executor");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.threshold = Assert.notNull(threshold, "threshold");
    this.bodyBudget = Assert.notNull(bodyBudget, "bodyBudget");
    this.retryAfter = Assert.notNull(retryAfter, "retryAfter");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Refuses new requests from now on, with {@link ResultCode#STOPPING}. */
  public void stopAccepting() {
    stopping = true;
  }

  /**
   * Refuses, from now on, new requests that may not end in time, with {@link ResultCode#STOPPING}.
   *
   * @param endMs when this VM ends whether requests are in flight or not, by this VM's clock
   */
  public void acceptUntil(long endMs) {
    lastDeadlineMs = endMs;
  }

  /** Returns the number of admitted requests that are not completed. */
  public int inFlight() {
    return inFlight.get();
  }

  /**
   * Serves a caller's request.
   *
   * @return the answer, whose header fields carry the result code; never completes exceptionally
   *     unless it is cancelled, which cancels the request
   */
  public CompletableFuture<HttpAnswer> serve(HttpExchange exchange, RequestAttributes attributes) {
    long startedMs = clock.nowMs();
    CompletableFuture<HttpAnswer> running = admit(exchange, attributes);
    CompletableFuture<HttpAnswer> answer =
        running.handle(
            (received, failure) -> toCallerAnswer(attributes, startedMs, received, failure));
    answer.whenComplete((received, failure) -> running.cancel(false));
    return answer;
  }

  /**
   * Serves a request that another entry VM relayed.
   *
   * @return the answer, or a message that describes the failure; never completes exceptionally
   *     unless it is cancelled, which cancels the request
   */
  public CompletableFuture<RelayAnswer> serveRelayed(
      RelayRequest request, RequestClassifier classifier) {
    CompletableFuture<HttpAnswer> running = admitRelayed(request, classifier);
    CompletableFuture<RelayAnswer> answer =
        running.handle(
            (received, failure) ->
                failure == null
                    ? RelaySender.toRelayAnswer(received)
                    : RelaySender.toRelayAnswer(failure));
    answer.whenComplete((received, failure) -> running.cancel(false));
    return answer;
  }

  private CompletableFuture<HttpAnswer> admitRelayed(
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
    if (stopping || attributes.deadlineMs() > lastDeadlineMs) {
      return failWith(ResultCode.STOPPING, "this VM is stopping");
    }
    int priority = findKind(attributes).map(RequestKind::getWorth).orElse(0);
    int inFlightBefore = inFlight.getAndIncrement();
    if (!threshold.admits(inFlightBefore, priority)) {
      inFlight.decrementAndGet();
      return reject(AdmissionRefusal.IN_FLIGHT, "too many requests in flight");
    }
    int bodyBytes = exchange.body().length;
    if (!bodyBudget.tryReserve(bodyBytes)) {
      inFlight.decrementAndGet();
      return reject(AdmissionRefusal.BODY_MEMORY, "too many bytes in flight");
    }
    CompletableFuture<HttpAnswer> running = executor.run(exchange, attributes);
    running.whenComplete(
        (received, failure) -> {
          bodyBudget.release(bodyBytes);
          inFlight.decrementAndGet();
        });
    return running;
  }

  private CompletableFuture<HttpAnswer> reject(AdmissionRefusal reason, String message) {
    metrics.limited(reason);
    return failWith(ResultCode.OVERLOADED, message);
  }

  private HttpAnswer toCallerAnswer(
      RequestAttributes attributes, long startedMs, HttpAnswer received, Throwable failure) {
    ResultCode code = failure == null ? ResultCode.OK : ResultCodeException.codeOf(failure);
    long elapsedMs = clock.nowMs() - startedMs;
    findKind(attributes)
        .ifPresent(
            kind ->
                metrics.request(
                    attributes.service(), attributes.kind(), kind.getWorth(), code, elapsedMs));
    if (failure == null) {
      return Answers.withResultHeaders(received, ResultCode.OK);
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

  private Optional<RequestKind> findKind(RequestAttributes attributes) {
    return snapshots
        .get()
        .configuration()
        .findService(attributes.service())
        .map(service -> service.kinds().get(attributes.kind()));
  }

  private static CompletableFuture<HttpAnswer> failWith(ResultCode code, String message) {
    return CompletableFuture.failedFuture(new ResultCodeException(code, message));
  }
}
