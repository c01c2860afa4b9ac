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
import org.foxtailford.core.overload.ByteBudget;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.jspecify.annotations.Nullable;

/**
 * Server side of a caller's HTTP/1.1 connection, with support for pipelined requests. Answers are
 * sent in the order of the requests.
 *
 * <p>Pipelined GET and HEAD requests are handled concurrently. A request with any other method is
 * started only once all earlier ones are answered, so that it is certain not to have run if the
 * connection closes before. No request is started behind one whose answer may end the connection,
 * and the connection closes only when each started request is answered. Confined to the
 * connection's event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

  /** Largest request body that is buffered so that it can be retried, in bytes. */
  static final int MAX_BUFFERED_BODY_BYTES = 256 << 10;

  /** Queued bytes from which an answer behind earlier ones is no longer writable. */
  static final int MAX_QUEUED_ANSWER_BYTES = 128 << 10;

  /**
   * Unsent bytes from which no more of an answer is read, in bytes; the budget of all answers would
   * leave most of itself to a single caller that reads nothing.
   */
  static final int MAX_UNSENT_BYTES = 4 << 20;

  /** Maximum number of unanswered requests per connection; further ones are held unread. */
  private static final int MAX_CONCURRENT_EXCHANGES = 16;

  /**
   * Idle timeouts for which a caller may take nothing of an answer; more than one, since the kernel
   * takes further bytes only when a third of its buffer is free.
   */
  private static final int UNSENT_TIMEOUT_FACTOR = 4;

  /** Time for which the rest of an incompletely read request is drained, in milliseconds. */
  private static final long DISCARD_MS = 1000;

  /**
   * Time for which an idle connection is kept open during a drain, in milliseconds. Its caller may
   * send on before it notices the close, most often at once, and would not learn that the request
   * has not run.
   */
  private static final long DRAIN_IDLE_MS = 1000;

  /** Reason for the refusal of a request whose body does not fit into the budget of all bodies. */
  static final String BODIES_FULL = "request bodies are over the budget";

  private static final int BAD_REQUEST = 400;
  private static final int BODY_TOO_LARGE = 413;
  private static final int HEAD_TOO_LARGE = 431;
  private static final int SERVICE_UNAVAILABLE = 503;

  private final CallerHandler handler;
  private final CallerLimitsSource limits;
  private final MillisClock clock;
  private final CallerServer server;
  private final ReadAhead readAhead;
  private final Deque<CallerExchange> exchanges = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private @Nullable CallerExchange incoming;
  private final ByteBudget.Share unsent;
  private long bodyBytes;
  private boolean closing;
  private boolean ended;
  private boolean draining;
  private long idleSinceMs;
  private long headStartedMs;
  private long lastSentMs;

  CallerConnection(
      CallerServer server,
      ReadAhead readAhead,
      CallerHandler handler,
      CallerLimitsSource limits,
      MillisClock clock) {
    this.server = server;
    this.readAhead = readAhead;
    this.handler = handler;
    this.limits = limits;
    this.clock = clock;
    this.unsent = server.buffers().answers().open(this::onRoom, this::onCut);
    this.idleSinceMs = clock.nowMs();
    this.lastSentMs = idleSinceMs;
  }

  private ChannelHandlerContext context() {
    return Assert.notNull(context, "context");
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    server.add(this);
  }

  /** Records that bytes arrived, before they are decoded; starts the header timeout. */
  void onBytesReceived() {
    if (incoming == null && headStartedMs == 0) {
      headStartedMs = clock.nowMs();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (closing) {
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

  private CallerExchange newExchange(HttpRequest request) {
    RequestBody body = new RequestBody(server.buffers().bodies());
    return new CallerExchange(
        this, request, body, readAhead.receivedMs(), readAhead.earliestArrivalMs());
  }

  private void onHead(HttpRequest request) {
    headStartedMs = 0;
    CallerExchange exchange = newExchange(request);
    exchanges.add(exchange);
    incoming = exchange;
    bodyBytes = 0;
    if (request.decoderResult().isFailure()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
      reject(exchange, tooLong ? HEAD_TOO_LARGE : BAD_REQUEST, "the head can't be read");
    } else if (!request.uri().startsWith("/")) {
      reject(exchange, BAD_REQUEST, "the target is not a path");
    } else if (HttpUtil.getContentLength(request, 0L) > limits.get().maxBodyBytes()) {
      reject(exchange, BODY_TOO_LARGE, "the body is over the limit");
    } else if (!exchange.tryReserveBody()) {
      reject(exchange, SERVICE_UNAVAILABLE, BODIES_FULL);
    } else {
      startReadyRequests();
    }
    updateReading();
  }

  private void reject(CallerExchange exchange, int status, String reason) {
    exchange.closeAfterAnswer();
    exchange.markStarted();
    incoming = null;
    closing = true;
    if (exchange.isAnswerStarted()) {
      abort();
    } else if (!exchange.fireUnreadable(status, reason)) {
      handler.onUnreadable(exchange, status, reason);
    }
  }

  /** Starts each request that need not wait for an earlier one. */
  private void startReadyRequests() {
    for (CallerExchange exchange : List.copyOf(exchanges)) {
      if (!exchange.isStarted() && mayStart(exchange)) {
        exchange.markStarted();
        if (isFirst(exchange) && exchange.expectsContinue()) {
          writeContinue();
        }
        handler.onRequest(exchange);
        if (exchange.isOpen() && exchange.isBodyReady()) {
          exchange.fireBodyReady();
        }
      }
    }
  }

  private void writeContinue() {
    context()
        .writeAndFlush(
            new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
  }

  /**
   * Returns whether a request may be started now. One behind others would lose its answer if the
   * connection ends with an earlier one.
   */
  private boolean mayStart(CallerExchange exchange) {
    if (ended) {
      return false;
    }
    if (isFirst(exchange)) {
      return true;
    }
    boolean safeMethod =
        exchange.method().equals(HttpMethod.GET) || exchange.method().equals(HttpMethod.HEAD);
    return safeMethod
        && !draining
        && exchanges.stream()
            .takeWhile(earlier -> earlier != exchange)
            .noneMatch(CallerExchange::mayEndConnection);
  }

  private void onContent(HttpContent content) {
    CallerExchange exchange = incoming;
    ByteBuf part = content.content();
    if (exchange == null) {
      part.release();
      return;
    }
    if (content.decoderResult().isFailure()) {
      part.release();
      reject(exchange, BAD_REQUEST, "the body can't be read");
      return;
    }
    boolean last = content instanceof LastHttpContent;
    bodyBytes += part.readableBytes();
    if (bodyBytes > limits.get().maxBodyBytes() && !exchange.isAnswerStarted()) {
      part.release();
      reject(exchange, BODY_TOO_LARGE, "the body is over the limit");
      return;
    }
    boolean ready = exchange.isBodyReady();
    if (!exchange.tryAddBody(part, last)) {
      reject(exchange, SERVICE_UNAVAILABLE, BODIES_FULL);
      return;
    }
    if (last) {
      incoming = null;
      idleSinceMs = clock.nowMs();
    }
    if (!ready && exchange.isBodyReady() && exchange.isStarted() && exchange.isOpen()) {
      exchange.fireBodyReady();
    }
    updateReading();
  }

  /**
   * Takes further bytes unless the body is paused, has to wait for earlier answers, or too much is
   * unanswered or unsent.
   */
  void updateReading() {
    CallerExchange exchange = incoming;
    boolean paused =
        exchange == null
            ? unsent.heldBytes() >= MAX_QUEUED_ANSWER_BYTES
            : exchange.isBodyHeldBack();
    readAhead.setPaused(paused || exchanges.size() >= MAX_CONCURRENT_EXCHANGES);
  }

  /** Returns whether the connection is not read, so that its end is not noticed. */
  boolean isUnread() {
    return readAhead.isUnread();
  }

  /**
   * Reads what the connection has, and returns whether the caller has closed it. Unknown, and so
   * false, only while as much is held as may be.
   */
  boolean hasCallerLeft() {
    readAhead.readOn();
    return !context().channel().isOpen();
  }

  boolean isFirst(CallerExchange exchange) {
    return exchanges.peekFirst() == exchange;
  }

  /** Returns whether the connection is draining and no request behind this one was started. */
  boolean isLastAnswerBeforeClose(CallerExchange exchange) {
    return draining
        && exchanges.stream()
            .dropWhile(earlier -> earlier != exchange)
            .skip(1)
            .noneMatch(CallerExchange::isStarted);
  }

  /** Returns whether more of an answer may be read from its upstream. */
  boolean isWritable() {
    return unsent.heldBytes() < MAX_UNSENT_BYTES && unsent.mayGrow();
  }

  /** Records a part of an answer until it is sent, and returns the bytes that it counts for. */
  int recordUnsent(int contentBytes) {
    int bytes = contentBytes + CallerBuffers.PART_OVERHEAD_BYTES;
    unsent.add(bytes);
    return bytes;
  }

  /** Forgets parts of an answer that will not be sent, by the bytes that they count for. */
  void forgetUnsent(long bytes) {
    unsent.release(bytes);
  }

  /**
   * Writes a part of the first answer.
   *
   * @param bytes bytes that it was recorded with
   */
  void write(Object message, int bytes) {
    if (ended) { // by the answer to an earlier request
      ReferenceCountUtil.release(message);
      unsent.release(bytes);
      return;
    }
    ChannelFuture written = context().write(message);
    if (bytes > 0) {
      written.addListener(sent -> onSent(bytes));
    }
    if (message instanceof LastHttpContent) {
      context().flush();
    } else {
      server.flushLater(context());
    }
  }

  private void onSent(int bytes) {
    lastSentMs = clock.nowMs();
    boolean paused = unsent.heldBytes() >= MAX_QUEUED_ANSWER_BYTES;
    boolean full = unsent.heldBytes() >= MAX_UNSENT_BYTES;
    unsent.release(bytes);
    if (full && unsent.heldBytes() < MAX_UNSENT_BYTES) {
      onRoom();
    }
    if (paused && unsent.heldBytes() < MAX_QUEUED_ANSWER_BYTES) {
      updateReading();
    }
  }

  private void onRoom() {
    CallerExchange first = exchanges.peekFirst();
    if (first != null) {
      first.fireWritable();
    }
  }

  private void onCut() {
    server.onCut();
    abort();
  }

  /** Removes exchanges whose answers are complete and starts writing the next answer. */
  void onAnswerEnded() {
    if (ended) {
      return;
    }
    while (!exchanges.isEmpty() && exchanges.peekFirst().isAnswerEnded()) {
      CallerExchange finished = exchanges.pollFirst();
      finished.releaseBody();
      if (finished.closesConnection()) {
        closeAfterFlush(finished.isBodyReceived());
        return;
      }
      CallerExchange next = exchanges.peekFirst();
      if (next != null) {
        next.onBecameFirst();
      }
    }
    idleSinceMs = clock.nowMs();
    startReadyRequests();
    updateReading();
  }

  /**
   * Closes the connection after flushing the answer. Output is shut down first, and input is
   * discarded until the caller closes too: on input that is unread, or comes after the close, TCP
   * sends a reset and drops what it has not sent of the answer.
   *
   * <p>A caller that doesn't close is cut off by the idle timeout, or after {@link #DISCARD_MS} if
   * its request is incomplete, as it may send on at any rate.
   */
  private void closeAfterFlush(boolean requestComplete) {
    closing = true;
    ended = true;
    headStartedMs = 0;
    idleSinceMs = clock.nowMs();
    ChannelFuture flushed = context().writeAndFlush(Unpooled.EMPTY_BUFFER);
    if (!(context().channel() instanceof SocketChannel)) {
      flushed.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    SocketChannel channel = (SocketChannel) context().channel();
    readAhead.discard();
    channel.eventLoop().execute(this::dropRequests); // not amid the end of one of them
    flushed.addListener(
        ignored -> {
          channel.shutdownOutput();
          if (!requestComplete) {
            channel.eventLoop().schedule(() -> channel.close(), DISCARD_MS, TimeUnit.MILLISECONDS);
          }
        });
  }

  /** Ends the requests that get no answer, as the connection ends before. */
  private void dropRequests() {
    List<CallerExchange> open = List.copyOf(exchanges);
    exchanges.clear();
    open.forEach(CallerExchange::fireCallerGone);
  }

  void abort() {
    closing = true;
    ended = true;
    context().close();
  }

  /** Makes the last answer close the connection; {@link #close()} ends an idle one. */
  void drain() {
    draining = true;
  }

  /**
   * Closes the connection on an idle timeout, or if its caller reads nothing of an answer behind
   * which a request with a body waits; answers 408 on a request header timeout.
   */
  void closeIfTimedOut(long nowMs) {
    boolean slowHead =
        headStartedMs != 0
            && nowMs - headStartedMs > limits.get().headerTimeoutMs()
            && !closing
            && exchanges.isEmpty();
    boolean waits = exchanges.isEmpty() ? headStartedMs == 0 : isBlocked();
    int factor = unsent.heldBytes() > 0 ? UNSENT_TIMEOUT_FACTOR : 1;
    boolean idle =
        waits && nowMs - Math.max(lastSentMs, idleSinceMs) > factor * limits.get().idleTimeoutMs();
    if ((slowHead || idle) && !ended && readAhead.readOn()) {
      return; // what it waits for may be there
    }
    if (slowHead) {
      headStartedMs = 0;
      CallerExchange exchange =
          newExchange(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"));
      exchanges.add(exchange);
      reject(
          exchange, HttpResponseStatus.REQUEST_TIMEOUT.code(), "the head did not come to an end");
    } else if (idle) {
      context().close();
    }
  }

  /** Returns whether the incoming request waits for its caller to take earlier answers. */
  private boolean isBlocked() {
    return unsent.heldBytes() > 0 && incoming != null && !incoming.isStarted();
  }

  /** Returns whether the connection has been idle for so long that it may close during a drain. */
  boolean isIdle() {
    return exchanges.isEmpty()
        && headStartedMs == 0
        && readAhead.isEmpty()
        && clock.nowMs() - Math.max(lastSentMs, idleSinceMs) >= DRAIN_IDLE_MS;
  }

  /** Closes an idle connection once its last answer is flushed. */
  void close() {
    if (!closing) {
      closing = true;
      context().writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    server.remove(this);
    closing = true;
    unsent.close();
    dropRequests();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    server.onConnectionFailure(cause);
    ctx.close();
  }
}
