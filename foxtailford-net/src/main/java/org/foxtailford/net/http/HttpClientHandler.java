package org.foxtailford.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.jspecify.annotations.Nullable;

/** One request at a time on one client connection. Runs on the connection's event loop. */
final class HttpClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

  private @Nullable CompletableFuture<HttpAnswer> pending;

  /** Sends a request. The connection must have none in flight. */
  CompletableFuture<HttpAnswer> exchange(Channel channel, FullHttpRequest request, long timeoutMs) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    if (channel.eventLoop().inEventLoop()) {
      begin(channel, request, timeoutMs, answer);
    } else {
      channel.eventLoop().execute(() -> begin(channel, request, timeoutMs, answer));
    }
    return answer;
  }

  private void begin(
      Channel channel,
      FullHttpRequest request,
      long timeoutMs,
      CompletableFuture<HttpAnswer> answer) {
    if (!channel.isActive()) {
      request.release();
      answer.completeExceptionally(
          new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, "the connection is closed"));
      return;
    }
    pending = answer;
    var timer =
        channel
            .eventLoop()
            .schedule(
                () -> fail(ResultCode.ANSWER_TIMEOUT, "no answer in " + timeoutMs + " ms"),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    answer.whenComplete((received, failure) -> timer.cancel(false));
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                fail(ResultCode.OUTCOME_UNKNOWN, "the request was not sent whole");
              }
            });
  }

  /** Closes the connection if its request was given up before the answer came. */
  void abandon(Channel channel, CompletableFuture<HttpAnswer> exchanged) {
    if (!exchanged.isDone()) {
      channel
          .eventLoop()
          .execute(() -> fail(ResultCode.OUTCOME_UNKNOWN, "the request was cancelled"));
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    CompletableFuture<HttpAnswer> answer = pending;
    if (answer == null || response.decoderResult().isFailure()) {
      fail(ResultCode.TRUNCATED_ANSWER, "the answer is not valid HTTP");
      ctx.close();
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(response);
    HttpAnswer received = HttpMessages.toAnswer(response);
    pending = null;
    if (!keepAlive) {
      ctx.close();
    }
    answer.complete(received);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    fail(ResultCode.OUTCOME_UNKNOWN, "the connection was lost before the whole answer came");
    ctx.fireChannelInactive();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof ResultCodeException) {
      fail(((ResultCodeException) cause).code(), String.valueOf(cause.getMessage()));
    } else if (cause instanceof TooLongFrameException) {
      fail(ResultCode.ANSWER_TOO_LARGE, "the answer is over the limit");
    } else {
      fail(ResultCode.OUTCOME_UNKNOWN, "the connection failed: " + cause);
    }
    ctx.close();
  }

  private void fail(ResultCode code, String message) {
    CompletableFuture<HttpAnswer> answer = pending;
    if (answer != null) {
      pending = null;
      answer.completeExceptionally(new ResultCodeException(code, message));
    }
  }
}
