package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.jspecify.annotations.Nullable;

/**
 * A caller's connection: reads requests, also those sent behind others, and answers in their order.
 *
 * <p>Requests that may be repeated are worked on at the same time; any other waits until those
 * before it are answered, so that it is surely unread if the connection ends before.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** Largest body that is kept for a second send, in bytes. */
  static final int KEPT_BODY_BYTES = 256 << 10;

  /** Bytes of an answer that wait for the answers before it, at most. */
  static final int UNSENT_BYTES = 128 << 10;

  /** Requests of one connection that are worked on at once. */
  private static final int MOST_EXCHANGES = 16;

  /** Time for which the rest of a refused request is read, in milliseconds. */
  private static final long LINGER_MS = 1000;

  private static final int BAD_REQUEST = 400;
  private static final int BODY_TOO_LARGE = 413;
  private static final int HEAD_TOO_LARGE = 431;

  private final CallerHandler handler;
  private final CallerLimitsSource limits;
  private final MillisClock clock;
  private final CallerServer server;
  private final Deque<CallerExchange> exchanges = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable CallerExchange reading;
  private long bodyBytes;
  private boolean bodyPaused;
  private boolean ending;
  private boolean draining;
  private long quietSinceMs;
  private long headSinceMs;

  CallerConnection(
      CallerServer server, CallerHandler handler, CallerLimitsSource limits, MillisClock clock) {
    this.server = server;
    this.handler = handler;
    this.limits = limits;
    this.clock = clock;
    this.quietSinceMs = clock.nowMs();
  }

  private ChannelHandlerContext context() {
    return Assert.notNull(context, "context");
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    server.add(this);
  }

  /** Notes bytes that came before they are decoded. */
  void onBytes() {
    if (reading == null && headSinceMs == 0) {
      headSinceMs = clock.nowMs();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (ending) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpRequest) {
      onHead((HttpRequest) message);
    }
    if (message instanceof HttpContent) {
      onContent((HttpContent) message);
    }
  }

  private void onHead(HttpRequest request) {
    headSinceMs = 0;
    CallerExchange exchange = new CallerExchange(this, request, clock.nowMs());
    exchanges.add(exchange);
    reading = exchange;
    bodyBytes = 0;
    if (request.decoderResult().isFailure()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
      refuse(exchange, tooLong ? HEAD_TOO_LARGE : BAD_REQUEST, "the head can't be read");
    } else if (!request.uri().startsWith("/")) {
      refuse(exchange, BAD_REQUEST, "the target is not a path");
    } else if (HttpUtil.getContentLength(request, 0L) > limits.get().maxBodyBytes()) {
      refuse(exchange, BODY_TOO_LARGE, "the body is over the limit");
    } else {
      if (HttpUtil.is100ContinueExpected(request) && isFirst(exchange)) {
        context()
            .writeAndFlush(
                new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
      }
      startDue();
    }
    updateReading();
  }

  private void refuse(CallerExchange exchange, int status, String reason) {
    exchange.closeAfter();
    exchange.markStarted();
    reading = null;
    ending = true;
    handler.onUnreadable(exchange, status, reason);
  }

  /** Starts the requests whose turn has come. */
  private void startDue() {
    for (CallerExchange exchange : List.copyOf(exchanges)) {
      boolean repeatable =
          exchange.method().equals(HttpMethod.GET) || exchange.method().equals(HttpMethod.HEAD);
      if (!exchange.isStarted() && (repeatable || isFirst(exchange))) {
        exchange.markStarted();
        handler.onRequest(exchange);
        if (exchange.isOpen() && exchange.isBodyReady()) {
          exchange.fireBodyReady();
        }
      }
    }
  }

  private void onContent(HttpContent content) {
    CallerExchange exchange = reading;
    ByteBuf part = content.content();
    if (exchange == null) {
      part.release();
      return;
    }
    if (content.decoderResult().isFailure()) {
      part.release();
      refuse(exchange, BAD_REQUEST, "the body can't be read");
      return;
    }
    boolean last = content instanceof LastHttpContent;
    bodyBytes += part.readableBytes();
    if (bodyBytes > limits.get().maxBodyBytes() && !exchange.isAnswerStarted()) {
      part.release();
      refuse(exchange, BODY_TOO_LARGE, "the body is over the limit");
      return;
    }
    boolean ready = exchange.isBodyReady();
    exchange.addBody(part, last);
    if (last) {
      reading = null;
      quietSinceMs = clock.nowMs();
    }
    if (!ready && exchange.isBodyReady() && exchange.isStarted() && exchange.isOpen()) {
      exchange.fireBodyReady();
    }
    updateReading();
  }

  void pauseBody(boolean pause) {
    bodyPaused = pause;
    updateReading();
  }

  /** Reads on while there is room for what comes. */
  void updateReading() {
    CallerExchange exchange = reading;
    boolean held = exchange != null && (exchange.isBodyHeldBack() || bodyPaused);
    context().channel().config().setAutoRead(!held && exchanges.size() < MOST_EXCHANGES);
  }

  boolean isFirst(CallerExchange exchange) {
    return exchanges.peekFirst() == exchange;
  }

  /** Returns whether the connection ends with an answer because the process stops. */
  boolean isLastAnswer(CallerExchange exchange) {
    return draining && exchanges.peekLast() == exchange;
  }

  boolean isWritable() {
    return context().channel().isWritable();
  }

  void write(Object message) {
    context().write(message);
    if (message instanceof LastHttpContent) {
      context().flush();
    } else {
      server.flushLater(context());
    }
  }

  /** Removes the answers that have ended, and gives the next one its turn. */
  void onEnded() {
    while (!exchanges.isEmpty() && exchanges.peekFirst().isEnded()) {
      CallerExchange done = exchanges.pollFirst();
      done.releaseBody();
      if (done.closes()) {
        ending = true;
        endAfterFlush(done.isBodyComplete());
        return;
      }
      CallerExchange next = exchanges.peekFirst();
      if (next != null) {
        next.onTurn();
      }
    }
    quietSinceMs = clock.nowMs();
    startDue();
    updateReading();
  }

  /**
   * Ends the connection; one that is still sent to is read on, so that no reset eats the answer.
   */
  private void endAfterFlush(boolean wholeRequest) {
    ChannelFuture flushed = context().writeAndFlush(Unpooled.EMPTY_BUFFER);
    if (wholeRequest || !(context().channel() instanceof SocketChannel)) {
      flushed.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    SocketChannel channel = (SocketChannel) context().channel();
    channel.config().setAutoRead(true);
    flushed.addListener(done -> channel.shutdownOutput());
    channel.eventLoop().schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }

  void abort() {
    ending = true;
    context().close();
  }

  /** Ends the connection with the last answer, or now if it has no request. */
  void drain() {
    draining = true;
  }

  /** Closes a connection that is idle for too long, or whose head does not come to an end. */
  void sweep(long nowMs) {
    boolean slowHead =
        headSinceMs != 0 && nowMs - headSinceMs > limits.get().headerTimeoutMs() && !ending;
    boolean idle =
        exchanges.isEmpty()
            && headSinceMs == 0
            && nowMs - quietSinceMs > limits.get().idleTimeoutMs();
    if (slowHead && exchanges.isEmpty()) {
      headSinceMs = 0;
      CallerExchange exchange =
          new CallerExchange(
              this, new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"), nowMs);
      exchanges.add(exchange);
      refuse(
          exchange, HttpResponseStatus.REQUEST_TIMEOUT.code(), "the head did not come to an end");
    } else if (idle) {
      context().close();
    }
  }

  boolean isIdle() {
    return exchanges.isEmpty() && headSinceMs == 0;
  }

  /** Ends a connection without a request, once the last answer is written. */
  void close() {
    if (!ending) {
      ending = true;
      context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    CallerExchange first = exchanges.peekFirst();
    if (first != null && ctx.channel().isWritable()) {
      first.fireWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.remove(this);
    ending = true;
    List<CallerExchange> open = List.copyOf(exchanges);
    exchanges.clear();
    open.forEach(CallerExchange::fireGone);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    server.onConnectionFailure(cause);
    ctx.close();
  }
}
