package org.foxtailford.net.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import org.foxtailford.core.result.ResultCode;
import org.jspecify.annotations.Nullable;

/** Passes whole requests of one connection to a handler and writes its answers. */
final class HttpServerHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

  private final HttpExchangeHandler handler;

  HttpServerHandler(HttpExchangeHandler handler) {
    this.handler = handler;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    ctx.channel().config().setAutoRead(false);
    DecoderResult decoded = request.decoderResult();
    if (decoded.isFailure()) {
      boolean tooLong = decoded.cause() instanceof TooLongFrameException;
      ResultCode code = tooLong ? ResultCode.HEADERS_TOO_LARGE : ResultCode.MALFORMED_REQUEST;
      write(ctx, handler.refuse(code, String.valueOf(decoded.cause().getMessage())), false);
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    handler
        .handle(HttpMessages.toExchange(request))
        .whenComplete((answer, failure) -> onAnswer(ctx, answer, failure, keepAlive));
  }

  private void onAnswer(
      ChannelHandlerContext ctx,
      @Nullable HttpAnswer answer,
      @Nullable Throwable failure,
      boolean keepAlive) {
    if (answer != null) {
      write(ctx, answer, keepAlive);
    } else {
      write(ctx, handler.refuse(ResultCode.INTERNAL_ERROR, String.valueOf(failure)), false);
    }
  }

  private static void write(ChannelHandlerContext ctx, HttpAnswer answer, boolean keepAlive) {
    ChannelFutureListener next =
        keepAlive ? HttpServerHandler::readNext : ChannelFutureListener.CLOSE;
    ctx.writeAndFlush(HttpMessages.toResponse(answer, keepAlive)).addListener(next);
  }

  private static void readNext(ChannelFuture written) {
    written.channel().config().setAutoRead(true);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
