package org.foxtailford.entry.request;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.net.exchange.ExchangeDialect;
import org.foxtailford.net.proxy.UpstreamFailure;

/** An attempt to have a request run by an upstream. Confined to the event loop. */
final class UpstreamAttempt extends Attempt {

  private static final int MISDIRECTED_REQUEST = 421;

  private final UpstreamHandle upstream;
  private boolean inFlight;
  private boolean trial;
  private long heldBytes;

  UpstreamAttempt(RequestCall call, UpstreamHandle upstream, RequestScheduler scheduler) {
    super(call, scheduler, upstream.pool());
    this.upstream = upstream;
  }

  UpstreamHandle upstream() {
    return upstream;
  }

  @Override
  String target() {
    return upstream.entry().id();
  }

  @Override
  void address(HttpHeaders headers, long leftMs) {
    ExchangeDialect dialect = scheduler().dialect();
    dialect.setTarget(headers, upstream.entry().id(), leftMs);
    if (call().hasTenants()) {
      dialect.removeApiKey(headers);
      dialect.setTenant(headers, call().tenant().map(Tenant::name));
    }
  }

  @Override
  void onStart() {
    upstream.load().recordSend(scheduler().nowMs());
    upstream.running().add(call());
    scheduler().costs().recordSend(call(), upstream, this);
    inFlight = true;
    addHeldBytes(call().exchange().bodyBytes());
    trial = scheduler().poison().isSuspect(call());
    if (trial) {
      upstream.beginTrial();
    }
  }

  private void addHeldBytes(long bytes) {
    heldBytes += bytes;
    upstream.byteLimit().add(bytes);
  }

  /** Counts the rest of a body as it is sent, unless its stated length was counted before. */
  @Override
  void onBodyPart(int bytes) {
    if (!call().exchange().hasStatedLength()) {
      addHeldBytes(bytes);
    }
  }

  @Override
  void onDelivered() {
    call().history().recordDeliveries(1);
    call().history().recordReached();
  }

  @Override
  boolean isNotRun(HttpResponse answer, RelayHeaders.AnswerMarks marks) {
    return scheduler().dialect().isNotRun(answer.status().code(), answer.headers());
  }

  @Override
  void onAnswerHead(HttpResponse answer, RelayHeaders.AnswerMarks marks) {
    scheduler().path().recordAnswer();
    ExchangeDialect dialect = scheduler().dialect();
    HttpHeaders headers = answer.headers();
    dialect
        .load(headers)
        .ifPresent(
            report -> {
              scheduler().ownerPacing().recordReport(upstream, report);
              scheduler().costs().recordReport(upstream, report);
            });
    if (dialect.asksForPause(answer.status().code(), headers)) {
      scheduler().statements().onPauseRequested(call(), upstream, headers);
    }
    if (dialect.namesLimit(headers)) {
      scheduler().statements().onLimitNamed(call(), upstream, headers);
    } else if (!isRefused()) {
      scheduler().statements().onNoLimitNamed(upstream);
    }
    if (dialect.isLeaving(headers)) {
      scheduler().statements().onLeaving(upstream);
    }
  }

  @Override
  boolean isFinal(HttpResponse answer) {
    int status = answer.status().code();
    if (status / 100 == SUCCESS_CLASS) {
      return isSigned(answer);
    }
    boolean retryable =
        status / 100 == SERVER_ERROR_CLASS
            && call().route().kind().isIdempotent()
            && call().canRetry()
            && !call().service().keyed();
    return isSigned(answer) && !retryable;
  }

  @Override
  void onComplete(HttpResponse answer, long tookMs, boolean measuresWork) {
    if (answer.status().code() / 100 == SERVER_ERROR_CLASS) {
      upstream.load().recordErrorResponse(scheduler().nowMs());
      return;
    }
    scheduler().poison().onServed(call());
    upstream.load().recordSuccess(tookMs, measuresWork);
    if (measuresWork) {
      scheduler()
          .costs()
          .recordAnswer(call(), upstream, tookMs, scheduler().dialect().load(answer.headers()));
    }
    boolean hadQueue =
        scheduler().dialect().load(answer.headers()).map(l -> l.waiting() > 0).orElse(true);
    scheduler().recordLatency(upstream, tookMs, hadQueue);
  }

  @Override
  void onUnusable(HttpResponse answer) {
    if (answer.status().code() == MISDIRECTED_REQUEST) {
      scheduler().onMisdirected(call(), upstream);
    } else if (isRefused()) {
      ExchangeDialect dialect = scheduler().dialect();
      scheduler().ownerPacing().recordRejection(upstream, dialect.load(answer.headers()));
    } else {
      upstream.load().recordErrorResponse(scheduler().nowMs());
    }
  }

  @Override
  void onConnectionFailure(UpstreamFailure failure, long tookMs) {
    if (failure == UpstreamFailure.BODY_INCOMPLETE) {
      return; // says nothing about the upstream
    }
    long nowMs = scheduler().nowMs();
    if (failure == UpstreamFailure.LOST || failure == UpstreamFailure.BROKEN_OFF) {
      upstream.byteLimit().recordLoss(heldBytes);
    }
    if (failure.isNotRun()) {
      scheduler().partialReach().recordFailure(upstream);
    }
    if (failure == UpstreamFailure.REFUSED) {
      upstream.load().recordUnreachable(nowMs);
      scheduler().poison().onRefused(upstream);
    } else if (failure == UpstreamFailure.LOST) {
      scheduler().ownerPacing().recordConnectionLoss(upstream, tookMs);
    } else {
      upstream.load().recordConnectionLoss(nowMs);
    }
  }

  /** Lets a request that may be sent again wait until it is known whether its upstream ended. */
  @Override
  void onLost(Runnable judged) {
    scheduler().poison().onConnectionLost(upstream, call(), sentMs(), judged);
  }

  @Override
  void onOverdue() {
    upstream.load().recordErrorResponse(scheduler().nowMs());
  }

  @Override
  void onClosed() {
    if (inFlight) {
      inFlight = false;
      upstream.load().recordEnd(scheduler().nowMs());
      upstream.running().remove(call());
      upstream.byteLimit().release(heldBytes);
      scheduler().costs().recordEnd(upstream, this);
      if (trial) {
        upstream.endTrial();
      }
    }
  }
}
