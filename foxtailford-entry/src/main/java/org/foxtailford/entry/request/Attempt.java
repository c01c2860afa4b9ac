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
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.BodyPart;
import org.foxtailford.net.proxy.CallerExchange;
import org.foxtailford.net.proxy.RequestHeaders;
import org.foxtailford.net.proxy.UpstreamFailure;
import org.foxtailford.net.proxy.UpstreamListener;
import org.foxtailford.net.proxy.UpstreamPool;
import org.foxtailford.net.proxy.UpstreamRequest;
import org.foxtailford.net.proxy.UpstreamSend;
import org.jspecify.annotations.Nullable;

/**
 * One attempt to send a request to a target and to pass on its answer. Confined to the event loop.
 *
 * <p>An answer is buffered until it is complete or exceeds {@link #MAX_BUFFERED_BYTES}, so that an
 * answer that is cut off early can still be replaced by that of another attempt.
 */
abstract class Attempt implements UpstreamListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  static final int SUCCESS_CLASS = 2;
  static final int SERVER_ERROR_CLASS = 5;

  /** Bytes of an answer that are buffered before it is passed on; most answers are smaller. */
  static final int MAX_BUFFERED_BYTES = 32 << 10;

  private final RequestCall call;
  private final RequestScheduler scheduler;
  private final UpstreamPool pool;
  private final long sentMs;
  private @Nullable UpstreamSend send;
  private @Nullable HttpResponse head;
  private CompositeByteBuf buffer = Unpooled.compositeBuffer(64);
  private boolean refused;
  private boolean accepted;
  private boolean closed;
  private boolean abandoned;
  private int droppedBytes;

  /**
   * Creates an attempt that is not started.
   *
   * @param pool connections to the target
   */
  Attempt(RequestCall call, RequestScheduler scheduler, UpstreamPool pool) {
    this.call = Assert.notNull(call, "call");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
    this.pool = Assert.notNull(pool, "pool");
    this.sentMs = scheduler.nowMs();
  }

  final RequestCall call() {
    return call;
  }

  final RequestScheduler scheduler() {
    return scheduler;
  }

  /** Returns when the attempt was made, in milliseconds. */
  final long sentMs() {
    return sentMs;
  }

  /** Returns whether the answer states that the target did not run the request. */
  final boolean isRefused() {
    return refused;
  }

  /** Returns the name of the target, for the log. */
  abstract String target();

  /** Addresses the request to the target, which has {@code leftMs} milliseconds for it. */
  abstract void address(HttpHeaders headers, long leftMs);

  /** Called when the request is about to be sent. */
  abstract void onStart();

  /** Called when the request may have reached the target. */
  abstract void onDelivered();

  /** Called with the size of each part of the body that is sent after the first one. */
  abstract void onBodyPart(int bytes);

  /**
   * Returns whether an answer states that the request has not run and will not run.
   *
   * @param marks marks that the answer came with, which are to be believed of entry VMs only
   */
  abstract boolean isNotRun(HttpResponse answer, RelayHeaders.AnswerMarks marks);

  /**
   * Called with the head of the answer.
   *
   * @param marks marks that the answer came with, which are to be believed of entry VMs only
   */
  abstract void onAnswerHead(HttpResponse answer, RelayHeaders.AnswerMarks marks);

  /** Returns whether the answer may be passed on, given that the target has run the request. */
  abstract boolean isFinal(HttpResponse answer);

  /** Called after the end of an answer that was passed on, or that nobody waits for any more. */
  abstract void onComplete(HttpResponse answer, long tookMs, boolean measuresWork);

  /** Called with an answer that can't be passed on. */
  abstract void onUnusable(HttpResponse answer);

  /** Called when the request was not sent, for a reason that says nothing about the target. */
  void onWithheld() {}

  /** Called when the connection failed. */
  abstract void onConnectionFailure(UpstreamFailure failure, long tookMs);

  /**
   * Called when the connection was lost after the request was sent.
   *
   * @param judged to be called when the request may be sent again
   */
  abstract void onLost(Runnable judged);

  /** Called when the answer is overdue. */
  abstract void onOverdue();

  /** Called once, when the attempt has ended. */
  abstract void onClosed();

  final boolean isSent() {
    return send != null && send.isSent();
  }

  final void start() {
    CallerExchange exchange = call.exchange();
    HttpHeaders headers = exchange.headers().copy();
    RequestHeaders.prepare(headers);
    if (!call.requestId().isEmpty()) { // which the Connection field may have named
      scheduler.dialect().setRequestId(headers, call.requestId());
    }
    RelayHeaders.removeFrom(headers);
    long leftMs = Math.max(1, call.terms().deadlineMs() - scheduler.nowMs());
    address(headers, leftMs);
    onStart();
    BodyPart body = exchange.bufferedBody();
    UpstreamRequest request =
        new UpstreamRequest(
            exchange.method(),
            exchange.uri(),
            headers,
            body,
            exchange.bodyLength(),
            call.requestId(),
            call.history().usedConnections(),
            scheduler.maxIdleMs(call.route().kind()),
            this::checkBeforeSend);
    if (!body.last()) {
      exchange.streamBody(); // later parts of the body are not in the request above
    }
    UpstreamSend started = pool.send(request, this);
    if (!closed) {
      send = started;
    }
  }

  private Optional<UpstreamFailure> checkBeforeSend(HttpHeaders headers) {
    long leftMs = call.terms().deadlineMs() - scheduler.nowMs();
    if (call.exchange().hasCallerLeft()) {
      return Optional.of(UpstreamFailure.CALLER_LEFT);
    }
    if (leftMs <= 0) {
      return Optional.of(UpstreamFailure.TIME_UP);
    }
    scheduler.dialect().setTimeLeft(headers, leftMs);
    return Optional.empty();
  }

  @Override
  public final void onSent() {
    onDelivered();
    call.exchange().pauseBody(false);
  }

  final void sendBody(BodyPart part) {
    if (send == null) {
      part.release();
      return;
    }
    onBodyPart(part.bytes().readableBytes());
    send.sendBody(part);
    if (!closed && !send.isWritable()) {
      call.exchange().pauseBody(true);
    }
  }

  @Override
  public final void onWritable() {
    call.exchange().pauseBody(false);
  }

  @Override
  public final void onHead(HttpResponse newHead) {
    head = newHead;
    RelayHeaders.AnswerMarks marks = RelayHeaders.takeFrom(newHead.headers());
    refused = isNotRun(newHead, marks);
    onAnswerHead(newHead, marks);
  }

  private boolean isAcceptable(HttpResponse answer) {
    return !refused && isFinal(answer);
  }

  final boolean isSigned(HttpResponse answer) {
    return scheduler.dialect().hasResponseSignature(answer.headers());
  }

  @Override
  public final void onContent(ByteBuf part) {
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
    if (RelayHeaders.version(call.exchange().headers()).isPresent()) {
      RelayHeaders.setVersion(answer.headers(), call.configurationVersion());
    }
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

  final void onCallerWritable() {
    if (send != null) {
      send.pauseAnswer(false);
    }
  }

  @Override
  public final void onEnd() {
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
    onComplete(answer, tookMs, measuresWork);
    close();
    if (accepted && !call.isFinished()) {
      call.exchange().end();
      call.onAnswered(this, answer.status().code());
    }
  }

  private void onUnacceptableAnswer(HttpResponse answer, long tookMs) {
    close();
    onUnusable(answer);
    int status = answer.status().code();
    String reason = refused ? "refused with " + status : "unusable answer " + status;
    logFailure(reason, tookMs);
    call.onAttemptFailed(this, refused, reason);
  }

  @Override
  public final void onFailure(UpstreamFailure failure, String reason) {
    if (closed) {
      return;
    }
    if (failure.isWithheld()) {
      onWithheld();
      close();
      call.onAttemptWithheld(this, failure);
      scheduler.sendWaiting(call.service().name());
      return;
    }
    long tookMs = scheduler.nowMs() - sentMs;
    close();
    onConnectionFailure(failure, tookMs);
    logFailure(failure + ": " + reason, tookMs);
    if (failure != UpstreamFailure.LOST && failure != UpstreamFailure.BROKEN_OFF) {
      endFailed(failure);
    } else if (call.mayRepeatAfterLoss(this)) {
      onLost(() -> endFailed(failure));
    } else {
      onLost(() -> {});
      endFailed(failure);
    }
  }

  private void endFailed(UpstreamFailure failure) {
    call.onAttemptFailed(this, failure.isNotRun(), failure.name());
    scheduler.sendWaiting(call.service().name());
  }

  /** Adds the sizes of a body to a line of the log, as announced to the target and as sent. */
  final FluentLogger.Api describeTransfer(FluentLogger.Api line) {
    return send == null || call.exchange().bodyBytes() == 0
        ? line
        : line.with(EventFields.ANNOUNCED_BYTES, send.announcedBytes().orElse(-1))
            .with(EventFields.SENT_BYTES, send.sentBytes());
  }

  private FluentLogger.Api describeBody(FluentLogger.Api line) {
    return call.exchange().bodyBytes() == 0
        ? line
        : describeTransfer(line.with(EventFields.RECEIVED_BYTES, call.exchange().receivedBytes()));
  }

  private void logFailure(String reason, long tookMs) {
    describeBody(
            logger
                .atInfo()
                .with(EventFields.REQUEST, call.requestId())
                .with(EventFields.FINGERPRINT, Long.toHexString(call.fingerprint()))
                .with(EventFields.SERVICE, call.service().name())
                .with(EventFields.UPSTREAM, target())
                .with(EventFields.REASON, reason)
                .with(EventFields.TOOK_MS, tookMs))
        .log("attempt failed");
  }

  /** Abandons an attempt whose answer is overdue, and counts that against the target. */
  final void abandonOverdue() {
    if (!closed) {
      onOverdue();
      logFailure("answer overdue", scheduler.nowMs() - sentMs);
      abandon();
    }
  }

  final void abandon() {
    if (!closed) {
      abandoned = true;
      logBrokenOff();
      close();
      if (send != null) {
        send.abandon();
      }
    }
  }

  /** Logs that the body is not sent to its end, since the request ends before it is received. */
  private void logBrokenOff() {
    if (isSent() && !call.exchange().isBodyReceived()) {
      describeBody(
              logger
                  .atInfo()
                  .with(EventFields.REQUEST, call.requestId())
                  .with(EventFields.UPSTREAM, target())
                  .with(EventFields.TOOK_MS, scheduler.nowMs() - sentMs))
          .log("upload broken off");
    }
  }

  private void close() {
    buffer.release();
    buffer = Unpooled.compositeBuffer(1);
    if (!closed) {
      closed = true;
      onClosed();
      call.onAttemptClosed(abandoned);
    }
  }
}
