package org.foxtailford.entry.request;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.route.RequestKind;
import org.foxtailford.net.proxy.CallerExchange;
import org.foxtailford.net.proxy.RequestHeaders;
import org.foxtailford.net.proxy.UpstreamFailure;
import org.foxtailford.net.proxy.UpstreamListener;
import org.foxtailford.net.proxy.UpstreamRequest;
import org.foxtailford.net.proxy.UpstreamSend;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a request to an upstream and to pass on its answer. Confined to the event
 * loop.
 *
 * <p>An answer is buffered until it is complete or exceeds {@link #MAX_BUFFERED_BYTES}, so that an
 * answer that is cut off early can still be replaced by that of another attempt.
 */
final class UpstreamAttempt implements UpstreamListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Bytes of an answer that are buffered before it is passed on; most answers are smaller. */
  static final int MAX_BUFFERED_BYTES = 32 << 10;

  private static final int SUCCESS_CLASS = 2;
  private static final int SERVER_ERROR_CLASS = 5;
  private static final int MISDIRECTED_REQUEST = 421;

  private final RequestCall call;
  private final UpstreamHandle upstream;
  private final RequestScheduler scheduler;
  private final long sentMs;
  private @Nullable UpstreamSend send;
  private @Nullable HttpResponse head;
  private CompositeByteBuf buffer = Unpooled.compositeBuffer(64);
  private boolean refused;
  private boolean accepted;
  private boolean closed;
  private boolean inFlight;
  private boolean trial;
  private int droppedBytes;

  UpstreamAttempt(RequestCall call, UpstreamHandle upstream, RequestScheduler scheduler) {
    this.call = call;
    this.upstream = upstream;
    this.scheduler = scheduler;
    this.sentMs = scheduler.nowMs();
  }

  UpstreamHandle upstream() {
    return upstream;
  }

  boolean isSent() {
    return send != null && send.isSent();
  }

  void start() {
    CallerExchange exchange = call.exchange();
    HttpHeaders headers = exchange.headers().copy();
    RequestHeaders.prepare(headers);
    long leftMs = Math.max(1, call.terms().deadlineMs() - scheduler.nowMs());
    scheduler.dialect().setTarget(headers, upstream.entry().id(), leftMs);
    upstream.load().recordSend(scheduler.nowMs());
    upstream.running().add(call);
    inFlight = true;
    trial = scheduler.poison().isSuspect(call);
    if (trial) {
      upstream.beginTrial();
    }
    boolean whole = exchange.isBodyComplete();
    UpstreamRequest request =
        new UpstreamRequest(
            exchange.method(),
            exchange.uri(),
            headers,
            exchange.retainedBody(),
            whole,
            call.requestId(),
            scheduler.maxIdleMs(call.route().kind()));
    if (!whole) {
      exchange.streamBody(); // later parts of the body are not in the request above
    }
    UpstreamSend started = upstream.pool().send(request, this);
    if (!closed) {
      send = started;
    }
  }

  @Override
  public void onSent() {
    call.recordDelivery();
    call.exchange().pauseBody(false);
  }

  void sendBody(ByteBuf part, boolean last) {
    if (send == null) {
      part.release();
      return;
    }
    send.sendBody(part, last);
    if (!send.isWritable()) {
      call.exchange().pauseBody(true);
    }
  }

  @Override
  public void onWritable() {
    call.exchange().pauseBody(false);
  }

  @Override
  public void onHead(HttpResponse newHead) {
    head = newHead;
    scheduler
        .dialect()
        .load(newHead.headers())
        .ifPresent(report -> scheduler.ownerPacing().recordReport(upstream, report));
    int status = newHead.status().code();
    refused = scheduler.dialect().isNotRun(status, newHead.headers());
    if (scheduler.dialect().asksForPause(status, newHead.headers())) {
      scheduler.onPauseRequested(call, upstream, newHead.headers());
    }
    if (scheduler.dialect().namesLimit(newHead.headers())) {
      scheduler.onLimitNamed(call, upstream, newHead.headers());
    } else if (!refused) {
      scheduler.onNoLimitNamed(upstream);
    }
    if (scheduler.dialect().isLeaving(newHead.headers())) {
      scheduler.onLeaving(upstream);
    }
  }

  private boolean isAcceptable(HttpResponse answer) {
    int status = answer.status().code();
    if (refused) {
      return false;
    }
    boolean signed = scheduler.dialect().hasResponseSignature(answer.headers());
    if (status / 100 == SUCCESS_CLASS) {
      return signed;
    }
    boolean retryable =
        status / 100 == SERVER_ERROR_CLASS
            && call.route().kind().isIdempotent()
            && call.canRetry()
            && !call.service().keyed();
    return signed && !retryable;
  }

  @Override
  public void onContent(ByteBuf part) {
    HttpResponse answer = head;
    if (closed || answer == null) {
      part.release();
    } else if (call.isFinished()) {
      drop(part);
    } else if (accepted) {
      call.exchange().write(part);
      applyBackpressure();
    } else {
      buffer.addComponent(true, part);
      if (buffer.readableBytes() > MAX_BUFFERED_BYTES) {
        onBufferFull(answer);
      }
    }
  }

  /** Drops a part of an answer that nobody waits for any more, and ends a long one. */
  private void drop(ByteBuf part) {
    droppedBytes += part.readableBytes();
    part.release();
    if (droppedBytes > MAX_BUFFERED_BYTES) {
      abandonOverdue();
    }
  }

  /** Begins to pass on a long answer, or ends one that will not be passed on. */
  private void onBufferFull(HttpResponse answer) {
    if (isAcceptable(answer) && call.accept(this)) {
      accepted = true;
      beginAnswer(answer, contentLength(answer));
      flushBuffer();
      applyBackpressure();
    } else {
      UpstreamSend overlong = send;
      onUnacceptableAnswer(answer, scheduler.nowMs() - sentMs);
      if (overlong != null) {
        overlong.abandon(); // the rest may come without end
      }
      scheduler.sendWaiting(call.service().name());
    }
  }

  private static Optional<Long> contentLength(HttpResponse answer) {
    long contentLength = HttpUtil.getContentLength(answer, -1L);
    return contentLength < 0 ? Optional.empty() : Optional.of(contentLength);
  }

  private void beginAnswer(HttpResponse answer, Optional<Long> contentLength) {
    call.exchange().begin(answer.status().code(), answer.headers(), contentLength);
  }

  private void flushBuffer() {
    call.exchange().write(buffer);
    buffer = Unpooled.compositeBuffer(64);
  }

  private void applyBackpressure() {
    if (send != null && !call.exchange().isWritable()) {
      send.pauseAnswer(true);
    }
  }

  void onCallerWritable() {
    if (send != null) {
      send.pauseAnswer(false);
    }
  }

  @Override
  public void onEnd() {
    HttpResponse answer = head;
    if (closed || answer == null) {
      return;
    }
    long tookMs = scheduler.nowMs() - sentMs;
    if (accepted || call.isFinished()) {
      finish(answer, tookMs, call.route().kind() != RequestKind.BULK);
    } else if (isAcceptable(answer) && call.accept(this)) {
      accepted = true;
      boolean headOnly = call.exchange().method().equals(HttpMethod.HEAD);
      beginAnswer(
          answer, headOnly ? contentLength(answer) : Optional.of((long) buffer.readableBytes()));
      flushBuffer();
      finish(answer, tookMs, true);
    } else {
      onUnacceptableAnswer(answer, tookMs);
    }
    scheduler.sendWaiting(call.service().name());
  }

  private void finish(HttpResponse answer, long tookMs, boolean measuresWork) {
    recordOutcome(answer, tookMs, measuresWork);
    close();
    if (accepted && !call.isFinished()) {
      call.exchange().end();
      call.onAnswered(this, answer.status().code());
    }
  }

  private void recordOutcome(HttpResponse answer, long tookMs, boolean measuresWork) {
    if (answer.status().code() / 100 == SERVER_ERROR_CLASS) {
      upstream.load().recordErrorResponse(scheduler.nowMs());
    } else {
      scheduler.poison().onServed(call);
      upstream.load().recordSuccess(tookMs, measuresWork);
      boolean hadQueue =
          scheduler.dialect().load(answer.headers()).map(l -> l.waiting() > 0).orElse(true);
      scheduler.recordLatency(upstream, tookMs, hadQueue);
    }
  }

  private void onUnacceptableAnswer(HttpResponse answer, long tookMs) {
    int status = answer.status().code();
    close();
    if (status == MISDIRECTED_REQUEST) {
      scheduler.onMisdirected(call, upstream);
    } else if (refused) {
      scheduler.ownerPacing().recordRejection(upstream);
    } else {
      upstream.load().recordErrorResponse(scheduler.nowMs());
    }
    String reason = refused ? "upstream refused with " + status : "unusable answer " + status;
    logFailure(reason, tookMs);
    call.onAttemptFailed(this, refused, reason);
  }

  @Override
  public void onFailure(UpstreamFailure failure, String reason) {
    if (closed) {
      return;
    }
    long nowMs = scheduler.nowMs();
    close();
    if (failure == UpstreamFailure.REFUSED) {
      upstream.load().recordUnreachable(nowMs);
      scheduler.poison().onRefused(upstream);
    } else if (failure == UpstreamFailure.LOST) {
      scheduler.ownerPacing().recordConnectionLoss(upstream, nowMs - sentMs);
    } else {
      upstream.load().recordConnectionLoss(nowMs);
    }
    logFailure(failure + ": " + reason, nowMs - sentMs);
    if (failure == UpstreamFailure.LOST || failure == UpstreamFailure.BROKEN_OFF) {
      onLost(failure);
    } else {
      endFailed(failure);
    }
  }

  /**
   * Lets a request that may be sent again wait until it is known whether its upstream has ended.
   */
  private void onLost(UpstreamFailure failure) {
    if (call.mayRepeatAfterLoss(this)) {
      scheduler.poison().onConnectionLost(upstream, call, sentMs, () -> endFailed(failure));
    } else {
      scheduler.poison().onConnectionLost(upstream, call, sentMs, () -> {});
      endFailed(failure);
    }
  }

  private void endFailed(UpstreamFailure failure) {
    call.onAttemptFailed(this, failure.isNotRun(), failure.name());
    scheduler.sendWaiting(call.service().name());
  }

  private void logFailure(String reason, long tookMs) {
    logger
        .atInfo()
        .with(EventFields.REQUEST, call.requestId())
        .with(EventFields.FINGERPRINT, Long.toHexString(call.fingerprint()))
        .with(EventFields.SERVICE, call.service().name())
        .with(EventFields.UPSTREAM, upstream.entry().id())
        .with(EventFields.REASON, reason)
        .with(EventFields.TOOK_MS, tookMs)
        .log("attempt failed");
  }

  /** Abandons an attempt whose answer is overdue, and counts that against the upstream. */
  void abandonOverdue() {
    if (!closed) {
      upstream.load().recordErrorResponse(scheduler.nowMs());
      logFailure("answer overdue", scheduler.nowMs() - sentMs);
      abandon();
    }
  }

  void abandon() {
    if (!closed) {
      close();
      if (send != null) {
        send.abandon();
      }
    }
  }

  private void close() {
    closed = true;
    buffer.release();
    buffer = Unpooled.compositeBuffer(1);
    if (inFlight) {
      inFlight = false;
      upstream.load().recordEnd(scheduler.nowMs());
      upstream.running().remove(call);
      if (trial) {
        upstream.endTrial();
      }
    }
  }
}
