package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.WaitingRequest;
import org.foxtailford.core.route.RouteRule;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.net.proxy.CallerExchange;
import org.jspecify.annotations.Nullable;

/**
 * One caller's request from its arrival to its answer: one or more sends, of which the first to
 * bring an acceptable answer wins. Used on the event loop only.
 */
final class RequestCall implements CallerExchange.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  static final int SERVICE_UNAVAILABLE = 503;
  static final int GATEWAY_TIMEOUT = 504;
  static final int BAD_GATEWAY = 502;

  private final CallerExchange exchange;
  private final RequestScheduler scheduler;
  private final RouteRule route;
  private final ServicePolicy service;
  private final OptionalInt key;
  private final String requestId;
  private final WaitingRequest terms;
  private final long callerUntilMs;
  private final List<UpstreamAttempt> live = new ArrayList<>();
  private final Set<String> tried = new HashSet<>();
  private int sends;
  private int arrivals;
  private boolean mayHaveRun;
  private boolean over;
  private boolean settled;
  private long waitsUntilMs;
  private long waitingSinceMs;
  private @Nullable UpstreamAttempt winner;
  private @Nullable ScheduledFuture<?> deadlineTimer;
  private @Nullable ScheduledFuture<?> silenceTimer;

  RequestCall(
      CallerExchange exchange,
      RequestScheduler scheduler,
      RouteRule route,
      ServicePolicy service,
      OptionalInt key,
      String requestId,
      WaitingRequest terms,
      long callerUntilMs) {
    this.exchange = exchange;
    this.scheduler = scheduler;
    this.route = route;
    this.service = service;
    this.key = key;
    this.requestId = requestId;
    this.terms = terms;
    this.callerUntilMs = callerUntilMs;
    this.waitsUntilMs = terms.arrivedMs();
  }

  CallerExchange exchange() {
    return exchange;
  }

  RouteRule route() {
    return route;
  }

  ServicePolicy service() {
    return service;
  }

  OptionalInt key() {
    return key;
  }

  String requestId() {
    return requestId;
  }

  WaitingRequest terms() {
    return terms;
  }

  Set<String> tried() {
    return tried;
  }

  int sends() {
    return sends;
  }

  /** Returns how many upstreams the request may have reached. */
  int arrivals() {
    return arrivals;
  }

  void countArrival() {
    arrivals++;
  }

  /** Returns how long the caller still waits, in milliseconds. */
  long callerLeftMs(long nowMs) {
    return Math.max(0, callerUntilMs - nowMs);
  }

  boolean isOver() {
    return over;
  }

  boolean mayHaveRun() {
    return mayHaveRun;
  }

  long waitsUntilMs() {
    return waitsUntilMs;
  }

  void waitUntil(long untilMs, long nowMs) {
    waitsUntilMs = untilMs;
    waitingSinceMs = nowMs;
  }

  long waitingSinceMs() {
    return waitingSinceMs;
  }

  /** Returns whether one more upstream may get the request. */
  boolean mayBeSentAgain() {
    return !over && winner == null && arrivals < route.maxAttempts();
  }

  void begin() {
    long nowMs = scheduler.nowMs();
    deadlineTimer = scheduler.later(Math.max(0, terms.deadlineMs() - nowMs), this::onDeadline);
  }

  @Override
  public void onBodyReady() {
    if (!over && sends == 0) {
      scheduler.submit(this);
    }
  }

  /** Sends the request to an upstream. */
  void send(UpstreamHandle upstream) {
    sends++;
    waitingSinceMs = 0;
    tried.add(upstream.entry().id());
    UpstreamAttempt attempt = new UpstreamAttempt(this, upstream, scheduler);
    live.add(attempt);
    attempt.start();
    if (!over && live.contains(attempt)) {
      watchSilence(attempt);
    }
  }

  private void watchSilence(UpstreamAttempt attempt) {
    cancel(silenceTimer);
    if (route.kind().isIdempotent() && !service.keyed()) {
      long patience = scheduler.patienceMs(this, attempt.upstream());
      silenceTimer = scheduler.later(patience, () -> onSilence(attempt));
    }
  }

  private void onSilence(UpstreamAttempt attempt) {
    if (!over && winner == null && live.contains(attempt)) {
      attempt.upstream().load().recordSilence(scheduler.nowMs());
      scheduler.hedge(this);
    }
  }

  /** Accepts the answer of an attempt; the others are given up. */
  boolean accept(UpstreamAttempt attempt) {
    if (over || winner != null) {
      return false;
    }
    winner = attempt;
    cancel(silenceTimer);
    for (UpstreamAttempt other : List.copyOf(live)) {
      if (other != attempt) {
        other.abandon();
      }
    }
    live.clear();
    live.add(attempt);
    return true;
  }

  /** Takes an attempt that brought nothing; the request goes on elsewhere or ends. */
  void onAttemptFailed(UpstreamAttempt attempt, boolean notRun, String reason) {
    live.remove(attempt);
    if (!notRun) {
      mayHaveRun = true;
    }
    if (over) {
      return;
    }
    if (winner == attempt) {
      winner = null;
      if (exchange.isAnswerStarted()) {
        finish();
        logger
            .atWarning()
            .with(EventFields.REQUEST, requestId)
            .with(EventFields.UPSTREAM, attempt.upstream().entry().id())
            .with(EventFields.REASON, reason)
            .log("answer broken off");
        exchange.abort();
        return;
      }
    }
    if (live.isEmpty()) {
      scheduler.afterFailure(this, notRun, reason);
    }
  }

  private void onDeadline() {
    if (over || exchange.isAnswerStarted()) {
      return;
    }
    if (sends == 0 || !mayHaveRun && live.isEmpty()) {
      refuse("time is up", GATEWAY_TIMEOUT);
    } else {
      fail(GATEWAY_TIMEOUT, "no answer in time");
    }
  }

  /** Refuses a request that has not run and never will. */
  void refuse(String reason, int otherwise) {
    if (mayHaveRun || !live.isEmpty()) {
      fail(otherwise, reason);
      return;
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    long delayMs = scheduler.retryAfterMs(this);
    scheduler.dialect().comeBackAfter(headers, delayMs);
    scheduler.metrics().refused(reason);
    logger
        .atInfo()
        .with(EventFields.REQUEST, requestId)
        .with(EventFields.ROUTE, route.name())
        .with(EventFields.SERVICE, service.name())
        .with(EventFields.REASON, reason)
        .with(EventFields.RETRY_AFTER_MS, delayMs)
        .with(EventFields.ATTEMPTS, (long) sends)
        .with(EventFields.TOOK_MS, scheduler.nowMs() - terms.arrivedMs())
        .with(EventFields.LEFT_MS, terms.deadlineMs() - scheduler.nowMs())
        .log("request refused");
    answer(SERVICE_UNAVAILABLE, headers);
  }

  /** Ends a request of which nobody knows whether it ran. */
  void fail(int status, String reason) {
    scheduler.metrics().refused(reason);
    logger
        .atWarning()
        .with(EventFields.REQUEST, requestId)
        .with(EventFields.ROUTE, route.name())
        .with(EventFields.SERVICE, service.name())
        .with(EventFields.STATUS, (long) status)
        .with(EventFields.REASON, reason)
        .with(EventFields.ATTEMPTS, (long) sends)
        .with(EventFields.TOOK_MS, scheduler.nowMs() - terms.arrivedMs())
        .log("request failed");
    answer(status, new DefaultHttpHeaders());
  }

  private void answer(int status, HttpHeaders headers) {
    finish();
    if (!requestId.isEmpty()) {
      scheduler.dialect().answerTo(headers, requestId);
    }
    exchange.answer(status, headers, Unpooled.EMPTY_BUFFER);
  }

  @Override
  public void onCallerGone() {
    if (!over) {
      logger
          .atInfo()
          .with(EventFields.REQUEST, requestId)
          .with(EventFields.SERVICE, service.name())
          .with(EventFields.TOOK_MS, scheduler.nowMs() - terms.arrivedMs())
          .with(EventFields.ATTEMPTS, (long) sends)
          .log("caller gone");
      finish();
    }
  }

  @Override
  public void onBodyPart(ByteBuf part, boolean last) {
    UpstreamAttempt attempt = live.isEmpty() ? null : live.get(0);
    if (over || attempt == null) {
      part.release();
    } else {
      attempt.sendBody(part, last);
    }
  }

  @Override
  public void onWritable() {
    if (winner != null) {
      winner.onCallerWritable();
    }
  }

  /** Notes that the whole answer is written. */
  void onAnswered(UpstreamAttempt attempt, int status) {
    long tookMs = scheduler.nowMs() - terms.arrivedMs();
    scheduler.metrics().answered(route.name(), status, tookMs);
    logger
        .atInfo()
        .with(EventFields.REQUEST, requestId)
        .with(EventFields.ROUTE, route.name())
        .with(EventFields.SERVICE, service.name())
        .with(EventFields.UPSTREAM, attempt.upstream().entry().id())
        .with(EventFields.STATUS, (long) status)
        .with(EventFields.ATTEMPTS, (long) sends)
        .with(EventFields.TOOK_MS, tookMs)
        .log("request answered");
    live.remove(attempt);
    finish();
  }

  /** Ends the call: what may be repeated is given up, anything else runs to its end. */
  private void finish() {
    if (settled) {
      return;
    }
    settled = true;
    over = true;
    cancel(deadlineTimer);
    cancel(silenceTimer);
    for (UpstreamAttempt attempt : List.copyOf(live)) {
      if (route.kind().isIdempotent() || !attempt.isSent()) {
        attempt.abandon();
      }
    }
    scheduler.forget(this);
  }

  private static void cancel(@Nullable ScheduledFuture<?> timer) {
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
