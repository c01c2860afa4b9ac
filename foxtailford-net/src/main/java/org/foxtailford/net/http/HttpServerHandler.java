package org.foxtailford.net.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches the requests of one connection to a handler, one at a time, and writes its answers.
 * Runs on the connection's event loop.
 *
 * <p>While a request is being handled, the connection is still read up to the next request, so that
 * a disconnect of the caller is detected and its request cancelled.
 */
final class HttpServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private final HttpExchangeHandler handler;
  private final ReceiveTimeoutHandler timeouts;
  private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
  private @Nullable CompletableFuture<HttpAnswer> currentAnswer;
  private boolean busy;

  HttpServerHandler(HttpExchangeHandler handler, ReceiveTimeoutHandler timeouts) {
    this.handler = handler;
    this.timeouts = timeouts;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    if (busy) {
      waiting.add(request.retain());
      ctx.channel().config().setAutoRead(false);
    } else {
      serve(ctx, request);
    }
  }

  private void serve(ChannelHandlerContext ctx, FullHttpRequest request) {
    busy = true;
    timeouts.onRequestReceived();
    boolean headOnly = request.method().equals(HttpMethod.HEAD);
    Optional<String> error = findError(request);
    if (error.isPresent()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
      ResultCode code = tooLong ? ResultCode.HEADERS_TOO_LARGE : ResultCode.MALFORMED_REQUEST;
      write(ctx, handler.refuse(code, error.get()), false, headOnly);
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    CompletableFuture<HttpAnswer> answer = handler.handle(HttpMessages.toExchange(request));
    currentAnswer = answer;
    answer.whenComplete((value, failure) -> onAnswer(ctx, value, failure, keepAlive, headOnly));
  }

  private static Optional<String> findError(FullHttpRequest request) {
    DecoderResult decoded = request.decoderResult();
    if (decoded.isFailure()) {
      return Optional.of(String.valueOf(decoded.cause().getMessage()));
    }
    if (!request.uri().startsWith("/")) {
      return Optional.of("the request target must be a path");
    }
    int hosts = request.headers().getAll(HttpHeaderNames.HOST).size();
    if (hosts > 1 || hosts == 0 && request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return Optional.of("there must be one Host field");
    }
    return Optional.empty();
  }

  private void onAnswer(
      ChannelHandlerContext ctx,
      @Nullable HttpAnswer answer,
      @Nullable Throwable failure,
      boolean keepAlive,
      boolean headOnly) {
    if (answer != null) {
      write(ctx, answer, keepAlive, headOnly);
    } else {
      HttpAnswer refusal = handler.refuse(ResultCode.INTERNAL_ERROR, String.valueOf(failure));
      write(ctx, refusal, false, headOnly);
    }
  }

  private void write(
      ChannelHandlerContext ctx, HttpAnswer answer, boolean keepAlive, boolean headOnly) {
    ctx.writeAndFlush(HttpMessages.toResponse(answer, keepAlive, headOnly))
        .addListener((ChannelFuture written) -> onWritten(ctx, written.isSuccess(), keepAlive));
  }

  private void onWritten(ChannelHandlerContext ctx, boolean whole, boolean keepAlive) {
    currentAnswer = null;
    if (!whole) {
      ctx.close();
      return;
    }
    if (!keepAlive) {
      timeouts.onAnswerWritten(ctx);
      ConnectionEnd.end(ctx);
      return;
    }
    FullHttpRequest next = waiting.poll();
    if (next != null) {
      try {
        serve(ctx, next);
      } finally {
        next.release();
      }
      return;
    }
    busy = false;
    timeouts.onAnswerWritten(ctx);
    ctx.channel().config().setAutoRead(true);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    CompletableFuture<HttpAnswer> answer = currentAnswer;
    waiting.forEach(FullHttpRequest::release);
    waiting.clear();
    busy = true;
    if (answer != null) {
      answer.cancel(true);
    }
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
