package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import org.foxtailford.net.tcp.ConnectionResets;
import org.jspecify.annotations.Nullable;

/**
 * Connection to an upstream with at most one request on it.
 *
 * <p>An answer that belongs to another request is skipped, and the connection ends after the one
 * that is waited for. So does a connection on which more came than one answer, or whose request was
 * not read to its end.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

  private final UpstreamAnswerDecoder decoder;
  private final ExchangeDialect dialect;
  private final MillisClock clock;
  private final UpstreamPool pool;
  private @Nullable ChannelHandlerContext context;
  private @Nullable UpstreamListener listener;
  private String requestId = "";
  private boolean bodySent;
  private boolean skipping;
  private boolean headSeen;
  private boolean ended;
  private boolean reset;
  private boolean reusable;
  private long idleSinceMs;
  private OptionalLong keepAliveMs = OptionalLong.empty();

  UpstreamConnection(
      UpstreamPool pool,
      UpstreamAnswerDecoder decoder,
      ExchangeDialect dialect,
      MillisClock clock) {
    this.pool = pool;
    this.decoder = decoder;
    this.dialect = dialect;
    this.clock = clock;
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

  /** Returns whether the upstream surely still listens on this connection. */
  boolean isFresh(long maxIdleMs) {
    long idleMs = clock.nowMs() - idleSinceMs;
    long stated = keepAliveMs.orElse(UpstreamPool.UNSTATED_KEEP_ALIVE_MS);
    return isActive() && idleMs <= maxIdleMs && idleMs < stated - UpstreamPool.CLOSE_MARGIN_MS;
  }

  void send(UpstreamRequest request, UpstreamListener newListener) {
    listener = newListener;
    requestId = request.requestId();
    headSeen = false;
    ended = false;
    skipping = false;
    reusable = true;
    bodySent = false;
    decoder.expect(request.method());
    DefaultHttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, request.method(), request.uri());
    head.headers().set(request.headers());
    setLength(head.headers(), request);
    context().write(head);
    newListener.onSent();
    sendBody(request.body(), request.bodyComplete());
  }

  private static void setLength(HttpHeaders headers, UpstreamRequest request) {
    if (request.bodyComplete()) {
      int length = request.body().readableBytes();
      boolean stated = headers.contains(HttpHeaderNames.CONTENT_LENGTH);
      headers.remove(HttpHeaderNames.CONTENT_LENGTH);
      if (length > 0 || stated) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, length);
      }
    } else if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    }
  }

  /** Sends a piece of the body, which is released. */
  void sendBody(ByteBuf part, boolean last) {
    if (last) {
      ChannelFuture written = context().writeAndFlush(new DefaultLastHttpContent(part));
      written.addListener(done -> bodySent = done.isSuccess());
    } else {
      context().writeAndFlush(new DefaultHttpContent(part));
    }
  }

  boolean isWritable() {
    return context().channel().isWritable();
  }

  void pauseAnswer(boolean pause) {
    context().channel().config().setAutoRead(!pause);
  }

  /** Gives the request up; nothing more is told of it. */
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
    UpstreamListener present = listener;
    if (present == null || ended) {
      reusable = false;
      return;
    }
    if (head.decoderResult().isFailure()) {
      fail(UpstreamFailure.GARBLED, "the answer can't be read: " + head.decoderResult().cause());
      return;
    }
    Optional<String> echoed = dialect.requestId(head.headers());
    boolean foreign = !requestId.isEmpty() && echoed.isPresent() && !echoed.get().equals(requestId);
    boolean interim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    skipping = foreign || interim;
    if (skipping) {
      reusable = reusable && !foreign;
      return;
    }
    headSeen = true;
    reusable = reusable && HttpUtil.isKeepAlive(head) && isFramed(head);
    keepAliveMs = dialect.keepAliveMs(head.headers());
    present.onHead(head);
  }

  private static boolean isFramed(HttpResponse head) {
    return HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
  }

  private void onContent(HttpContent content) {
    UpstreamListener present = listener;
    if (present == null || ended) {
      return;
    }
    boolean last = content instanceof LastHttpContent;
    if (skipping) {
      skipping = !last;
      return;
    }
    if (!headSeen) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      fail(UpstreamFailure.BROKEN_OFF, "the body can't be read");
      return;
    }
    if (last && reset) {
      fail(UpstreamFailure.BROKEN_OFF, "the connection was reset within the answer");
      return;
    }
    if (content.content().isReadable()) {
      present.onContent(content.content().retain());
    }
    if (last && listener != null) {
      ended = true;
      listener = null;
      present.onEnd();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (ended) {
      ended = false;
      decoder.finish();
      reusable = reusable && bodySent && !decoder.hasLeftover() && ctx.channel().isActive();
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
    UpstreamListener present = listener;
    listener = null;
    ConnectionResets.reset(context().channel());
    if (present != null) {
      present.onFailure(failure, reason);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext ctx) {
    if (listener != null && ctx.channel().isWritable()) {
      listener.onWritable();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    pool.closed(this);
    if (headSeen) {
      fail(UpstreamFailure.BROKEN_OFF, "the connection ended within the answer");
    } else {
      fail(UpstreamFailure.LOST, "the connection ended before the answer");
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    reset = cause instanceof IOException;
    if (reset) {
      UpstreamFailure failure = headSeen ? UpstreamFailure.BROKEN_OFF : UpstreamFailure.LOST;
      fail(failure, String.valueOf(cause.getMessage()));
    } else {
      fail(UpstreamFailure.GARBLED, String.valueOf(cause));
    }
  }
}
