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
 * One send of a request to one upstream.
 *
 * <p>An answer is kept until it is whole or longer than {@link #KEPT_ANSWER_BYTES}, so that one
 * which breaks off early can still be replaced by another upstream's.
 */
final class UpstreamAttempt implements UpstreamListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Part of an answer that is kept before it is passed on, in bytes; most answers are smaller. */
  static final int KEPT_ANSWER_BYTES = 32 << 10;

  private static final int SUCCESS_CLASS = 2;
  private static final int FAILURE_CLASS = 5;
  private static final int MISDIRECTED = 421;

  private final RequestCall call;
  private final UpstreamHandle upstream;
  private final RequestScheduler scheduler;
  private final long sentMs;
  private @Nullable UpstreamSend send;
  private @Nullable HttpResponse head;
  private CompositeByteBuf kept = Unpooled.compositeBuffer(64);
  private boolean refused;
  private boolean won;
  private boolean over;
  private boolean counted;

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
    scheduler.dialect().address(headers, upstream.entry().id(), leftMs);
    upstream.load().recordSend(scheduler.nowMs());
    counted = true;
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
      exchange.streamBody(); // what comes from now on is not part of the request above
    }
    UpstreamSend started = upstream.pool().send(request, this);
    if (!over) {
      send = started;
    }
  }

  @Override
  public void onSent() {
    call.countArrival();
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
        .ifPresent(report -> scheduler.turns().onReport(upstream, report));
    int status = newHead.status().code();
    refused = scheduler.dialect().isNotRun(status, newHead.headers());
  }

  private boolean isAcceptable(HttpResponse answer) {
    int status = answer.status().code();
    if (refused) {
      return false;
    }
    boolean sealed = scheduler.dialect().isSealed(answer.headers());
    if (status / 100 == SUCCESS_CLASS) {
      return sealed;
    }
    boolean repeat =
        status / 100 == FAILURE_CLASS
            && call.route().kind().isIdempotent()
            && call.mayBeSentAgain()
            && !call.service().keyed();
    return sealed && !repeat;
  }

  @Override
  public void onContent(ByteBuf part) {
    HttpResponse answer = head;
    if (over || answer == null || call.isOver()) {
      part.release();
    } else if (won) {
      call.exchange().write(part);
      pauseAsNeeded();
    } else {
      kept.addComponent(true, part);
      if (kept.readableBytes() > KEPT_ANSWER_BYTES && isAcceptable(answer) && call.accept(this)) {
        won = true;
        beginAnswer(answer, length(answer));
        passOnKept();
        pauseAsNeeded();
      }
    }
  }

  private static Optional<Long> length(HttpResponse answer) {
    long length = HttpUtil.getContentLength(answer, -1L);
    return length < 0 ? Optional.empty() : Optional.of(length);
  }

  private void beginAnswer(HttpResponse answer, Optional<Long> length) {
    call.exchange().begin(answer.status().code(), answer.headers(), length);
  }

  private void passOnKept() {
    call.exchange().write(kept);
    kept = Unpooled.compositeBuffer(64);
  }

  private void pauseAsNeeded() {
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
    if (over || answer == null) {
      return;
    }
    long tookMs = scheduler.nowMs() - sentMs;
    if (won || call.isOver()) {
      finish(answer, tookMs, call.route().kind() != RequestKind.BULK);
    } else if (isAcceptable(answer) && call.accept(this)) {
      won = true;
      boolean headOnly = call.exchange().method().equals(HttpMethod.HEAD);
      beginAnswer(answer, headOnly ? length(answer) : Optional.of((long) kept.readableBytes()));
      passOnKept();
      finish(answer, tookMs, true);
    } else {
      onUnacceptable(answer, tookMs);
    }
    scheduler.pump(call.service().name());
  }

  private void finish(HttpResponse answer, long tookMs, boolean timed) {
    noteOutcome(answer, tookMs, timed);
    close();
    if (won && !call.isOver()) {
      call.exchange().end();
      call.onAnswered(this, answer.status().code());
    }
  }

  private void noteOutcome(HttpResponse answer, long tookMs, boolean timed) {
    if (answer.status().code() / 100 == FAILURE_CLASS) {
      upstream.load().recordErrorResponse(scheduler.nowMs());
    } else {
      upstream.load().recordSuccess(tookMs, timed);
      boolean waited =
          scheduler.dialect().load(answer.headers()).map(l -> l.waiting() > 0).orElse(true);
      scheduler.learn(upstream, tookMs, waited);
    }
  }

  private void onUnacceptable(HttpResponse answer, long tookMs) {
    int status = answer.status().code();
    close();
    if (status == MISDIRECTED) {
      scheduler.onMisdirected(call, upstream);
    } else if (refused) {
      scheduler.turns().onShed(upstream);
    } else {
      upstream.load().recordErrorResponse(scheduler.nowMs());
    }
    String reason = refused ? "upstream refused with " + status : "unusable answer " + status;
    logFailure(reason, tookMs);
    call.onAttemptFailed(this, refused, reason);
  }

  @Override
  public void onFailure(UpstreamFailure failure, String reason) {
    if (over) {
      return;
    }
    long nowMs = scheduler.nowMs();
    close();
    if (failure == UpstreamFailure.REFUSED) {
      upstream.load().recordUnreachable(nowMs);
    } else if (failure == UpstreamFailure.LOST) {
      scheduler.turns().onLost(upstream, nowMs - sentMs);
    } else {
      upstream.load().recordConnectionLoss(nowMs);
    }
    logFailure(failure + ": " + reason, nowMs - sentMs);
    call.onAttemptFailed(this, failure.isNotRun(), failure.name());
    scheduler.pump(call.service().name());
  }

  private void logFailure(String reason, long tookMs) {
    logger
        .atInfo()
        .with(EventFields.REQUEST, call.requestId())
        .with(EventFields.SERVICE, call.service().name())
        .with(EventFields.UPSTREAM, upstream.entry().id())
        .with(EventFields.REASON, reason)
        .with(EventFields.TOOK_MS, tookMs)
        .log("attempt failed");
  }

  void abandon() {
    if (!over) {
      close();
      if (send != null) {
        send.abandon();
      }
    }
  }

  private void close() {
    over = true;
    kept.release();
    kept = Unpooled.compositeBuffer(1);
    if (counted) {
      counted = false;
      upstream.load().recordEnd(scheduler.nowMs());
    }
  }
}
