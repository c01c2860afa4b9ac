package org.foxtailford.net.proxy;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.exchange.ExchangeDialect;
import org.foxtailford.net.http.AnswerDecoder;
import org.foxtailford.net.tcp.ConnectionResets;
import org.jspecify.annotations.Nullable;

/**
 * Connection to an upstream that carries at most one request at a time.
 *
 * <p>An answer whose request id belongs to another request is skipped, and the connection is closed
 * after the expected answer. It is also closed if more than one answer was received, or if the
 * request was not sent completely. No request is sent twice on one connection, see {@link
 * UsedConnections}, so that the id tells each answer apart. A connection on which the body would
 * differ from the announced one is reset.
 *
 * <p>An answer that ends with its connection is complete only if the upstream has closed that and
 * the whole request was sent: a reset may be met by a write, without a failed read. Confined to the
 * connection's event loop.
 */
final class UpstreamConnection extends ChannelDuplexHandler {

  /** Bytes that are skipped while an answer is expected: several small answers to others. */
  private static final int MAX_SKIPPED_BYTES = 64 << 10;

  /** Bytes that the head of a skipped answer counts for; an interim one has hardly more. */
  private static final int SKIPPED_HEAD_BYTES = 1 << 10;

  private final AnswerDecoder decoder;
  private final ExchangeDialect dialect;
  private final MillisClock clock;
  private final UpstreamPool pool;
  private @Nullable ChannelHandlerContext context;
  private @Nullable UpstreamListener listener;
  private String requestId = "";
  private AnnouncedBody body = new AnnouncedBody(OptionalLong.empty());
  private boolean bodySent;
  private boolean flushScheduled;
  private boolean skipping;
  private int skippedBytes;
  private boolean headReceived;
  private boolean answerEnded;
  private boolean endsWithConnection;
  private boolean ownClose;
  private boolean reusable;
  private long idleSinceMs;
  private OptionalLong keepAliveMs = OptionalLong.empty();

  UpstreamConnection(
      UpstreamPool pool, AnswerDecoder decoder, ExchangeDialect dialect, MillisClock clock) {
    this.pool = pool;
    this.decoder = decoder;
    this.dialect = dialect;
    this.clock = clock;
    this.idleSinceMs = clock.nowMs();
  }

  private ChannelHandlerContext context() {
    return Assert.notNull(context, "context");
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
  }

  boolean isActive() {
    return context().channel().isActive();
  }

  /**
   * Reads up to the end of an idle connection, if that has come, and returns whether it is open.
   */
  boolean isStillOpen() {
    Channel channel = context().channel();
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe) {
      ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
    }
    return channel.isActive();
  }

  /** Returns whether the connection has been idle so briefly that the upstream still serves it. */
  boolean isFresh(long maxIdleMs) {
    long idleMs = clock.nowMs() - idleSinceMs;
    long keepAliveOrDefaultMs = keepAliveMs.orElse(UpstreamPool.DEFAULT_KEEP_ALIVE_MS);
    return isActive()
        && idleMs <= maxIdleMs
        && idleMs < keepAliveOrDefaultMs - UpstreamPool.CLOSE_MARGIN_MS;
  }

  void send(UpstreamRequest request, AnnouncedBody newBody, UpstreamListener newListener) {
    listener = newListener;
    body = newBody;
    requestId = request.requestId();
    request.usedConnections().add(this);
    headReceived = false;
    answerEnded = false;
    skipping = false;
    skippedBytes = 0;
    reusable = true;
    bodySent = false;
    decoder.expect(request.method());
    DefaultHttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
    head.headers().set(request.headers());
    setBodyLength(head.headers(), request);
    context().write(head);
    newListener.onSent();
    sendBody(request.body());
  }

  private static void setBodyLength(HttpHeaders headers, UpstreamRequest request) {
    if (request.bodyLength().isPresent()) {
      long length = request.bodyLength().getAsLong();
      if (length > 0 || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
      }
    } else {
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
  }

  /**
   * Sends a part of the body and releases it. Parts that are decoded from one read are flushed
   * together, since a body may come in chunks of one byte.
   */
  void sendBody(BodyPart part) {
    if (!body.tryAdd(part)) {
      part.release();
      fail(
          UpstreamFailure.BODY_INCOMPLETE,
          "body part at %d of %d after %d bytes"
              .formatted(part.offset(), body.length().orElse(-1), body.sentBytes()));
    } else if (part.last()) {
      ChannelFuture written = context().writeAndFlush(new DefaultLastHttpContent(part.bytes()));
      written.addListener(done -> bodySent = done.isSuccess());
    } else {
      context().write(new DefaultHttpContent(part.bytes()));
      if (!flushScheduled) {
        flushScheduled = true;
        context().executor().execute(this::flush);
      }
    }
  }

  private void flush() {
    flushScheduled = false;
    context().flush();
  }

  boolean isWritable() {
    return context().channel().isWritable();
  }

  void pauseAnswer(boolean pause) {
    context().channel().config().setAutoRead(!pause);
  }

  /** Abandons the request and resets the connection; the listener receives no more events. */
  void abandon() {
    listener = null;
    ConnectionResets.reset(context().channel());
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    try {
      if (message instanceof HttpResponse) {
        onHead((HttpResponse) message);
      }
      if (message instanceof HttpContent) {
        onContent((HttpContent) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void onHead(HttpResponse head) {
    UpstreamListener current = listener;
    if (current == null || answerEnded) {
      reusable = false;
      return;
    }
    if (head.decoderResult().isFailure()) {
      fail(UpstreamFailure.GARBLED, "malformed answer head: " + head.decoderResult().cause());
      return;
    }
    Optional<String> answeredId = dialect.requestId(head.headers());
    boolean otherRequest = answeredId.isPresent() && !answeredId.get().equals(requestId);
    boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    skipping = otherRequest || interim;
    if (skipping) {
      reusable = reusable && !otherRequest;
      skip(SKIPPED_HEAD_BYTES);
      return;
    }
    headReceived = true;
    endsWithConnection = decoder.endsWithConnection(head);
    reusable = reusable && HttpUtil.isKeepAlive(head) && AnswerDecoder.isFramed(head);
    keepAliveMs = dialect.keepAliveMs(head.headers());
    current.onHead(head);
  }

  /** Counts what belongs to no request of this connection; it may come without end. */
  private void skip(int bytes) {
    skippedBytes += bytes;
    if (skippedBytes > MAX_SKIPPED_BYTES) {
      fail(UpstreamFailure.GARBLED, "too many bytes that belong to no request");
    }
  }

  private void onContent(HttpContent content) {
    UpstreamListener current = listener;
    if (current == null || answerEnded) {
      return;
    }
    boolean last = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      skip(content.content().readableBytes());
      return;
    }
    if (!headReceived) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      fail(UpstreamFailure.BROKEN_OFF, "malformed answer body: " + content.decoderResult().cause());
      return;
    }
    if (last && endsWithConnection && !isEndedByUpstream()) {
      fail(UpstreamFailure.BROKEN_OFF, "connection lost during an answer without length");
      return;
    }
    if (content.content().isReadable()) {
      current.onContent(content.content().retain());
    }
    if (last && listener != null) {
      answerEnded = true;
      listener = null;
      current.onEnd();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (answerEnded) {
      answerEnded = false;
      decoder.finish();
      reusable = reusable && bodySent && !decoder.hasUndecodedBytes() && ctx.channel().isActive();
      if (reusable) {
        idleSinceMs = clock.nowMs();
        ctx.channel().config().setAutoRead(true);
        pool.release(this);
      } else {
        ctx.close();
      }
    }
    ctx.fireChannelReadComplete();
  }

  private void fail(UpstreamFailure failure, String reason) {
    UpstreamListener current = listener;
    listener = null;
    ConnectionResets.reset(context().channel());
    if (current != null) {
      current.onFailure(failure, reason);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (listener != null && ctx.channel().isWritable()) {
      listener.onWritable();
    }
  }

  /**
   * Returns whether the close of the connection is the end that the upstream gave to its answer. A
   * reset that a read meets has failed the request already; one that a write meets leaves a part of
   * the request unsent.
   */
  private boolean isEndedByUpstream() {
    return bodySent && !ownClose && !context().channel().eventLoop().isShuttingDown();
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    ownClose = true;
    ctx.close(promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.onClosed(this);
    if (headReceived) {
      fail(UpstreamFailure.BROKEN_OFF, "connection closed during the answer");
    } else {
      fail(UpstreamFailure.LOST, "connection closed before the answer");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      UpstreamFailure failure = headReceived ? UpstreamFailure.BROKEN_OFF : UpstreamFailure.LOST;
      fail(failure, String.valueOf(cause.getMessage()));
    } else {
      fail(UpstreamFailure.GARBLED, String.valueOf(cause));
    }
  }
}
