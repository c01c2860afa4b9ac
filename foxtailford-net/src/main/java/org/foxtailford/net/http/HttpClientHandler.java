package org.foxtailford.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.net.tcp.ConnectionResets;
import org.jspecify.annotations.Nullable;

/**
 * Sends one request at a time on a client connection and completes it with the answer. Runs on the
 * connection's event loop, except for {@link #exchange} and {@link #cancelIfPending}.
 *
 * <p>An answer is delivered only after all bytes that were read with it are processed, so that
 * excess bytes can't be taken for the answer to the next request. A failed connection is closed
 * before its failure is delivered.
 */
final class HttpClientHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

  private final AnswerDecoder decoder;
  private final Optional<EchoedId> echoedId;
  private @Nullable CompletableFuture<HttpAnswer> pending;
  private @Nullable HttpAnswer received;
  private @Nullable String attempt;
  private @Nullable String id;
  private boolean ambiguous;
  private boolean keepAlive;
  private boolean reused;

  /**
   * Creates a handler.
   *
   * @param echoedId tells answers apart; empty if their order alone does
   */
  HttpClientHandler(AnswerDecoder decoder, Optional<EchoedId> echoedId) {
    this.decoder = decoder;
    this.echoedId = echoedId;
  }

  /** Sends a request and releases its buffer; no other request may be in flight. */
  CompletableFuture<HttpAnswer> exchange(Channel channel, FullHttpRequest request, long timeoutMs) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    if (channel.eventLoop().inEventLoop()) {
      startExchange(channel, request, timeoutMs, answer);
    } else {
      channel.eventLoop().execute(() -> startExchange(channel, request, timeoutMs, answer));
    }
    return answer;
  }

  private void startExchange(
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
    attempt = request.headers().get(FoxtailHeaders.ATTEMPT);
    id = idOf(request);
    ambiguous = false;
    decoder.expect(request.method());
    var timer =
        channel
            .eventLoop()
            .schedule(
                () -> fail(channel, ResultCode.ANSWER_TIMEOUT, "no answer in " + timeoutMs + " ms"),
                timeoutMs,
                TimeUnit.MILLISECONDS);
    answer.whenComplete((value, failure) -> timer.cancel(false));
    channel
        .writeAndFlush(request)
        .addListener(
            written -> {
              if (!written.isSuccess()) {
                fail(channel, connectionLost(channel));
              }
            });
  }

  private @Nullable String idOf(HttpMessage message) {
    return echoedId.map(EchoedId::field).map(message.headers()::get).orElse(null);
  }

  /** Resets the connection if its request was cancelled before it was answered. */
  void cancelIfPending(Channel channel, CompletableFuture<HttpAnswer> exchangeResult) {
    if (!exchangeResult.isDone()) {
      channel.eventLoop().execute(() -> cancel(channel, exchangeResult));
    }
  }

  private void cancel(Channel channel, CompletableFuture<HttpAnswer> exchangeResult) {
    if (exchangeResult == pending) {
      fail(channel, ResultCode.OUTCOME_UNKNOWN, "the request was cancelled");
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
    if (pending == null || received != null) {
      fail(ctx.channel(), ResultCode.TRUNCATED_ANSWER, "more than one answer came");
      return;
    }
    if (response.decoderResult().isFailure()) {
      boolean tooLarge = response.decoderResult().cause() instanceof TooLongFrameException;
      ResultCode code = tooLarge ? ResultCode.ANSWER_TOO_LARGE : ResultCode.TRUNCATED_ANSWER;
      fail(ctx.channel(), code, "the answer is not valid: " + response.decoderResult().cause());
      return;
    }
    String echoedAttempt = response.headers().get(FoxtailHeaders.ATTEMPT);
    if (attempt != null && echoedAttempt != null && !echoedAttempt.equals(attempt)) {
      fail(
          ctx.channel(),
          ResultCode.CROSSED_ANSWER,
          "the answer belongs to attempt " + echoedAttempt);
      return;
    }
    String answeredId = idOf(response);
    if (id != null && answeredId != null && !answeredId.equals(id)) {
      ambiguous = true; // a second answer to an earlier request; the one that is due follows
      return;
    }
    ambiguous |= answeredId == null && echoedId.map(EchoedId::required).orElse(false);
    keepAlive = HttpUtil.isKeepAlive(response);
    received = HttpMessages.toAnswer(response);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    complete(ctx.channel());
    ctx.fireChannelReadComplete();
  }

  private void complete(Channel channel) {
    CompletableFuture<HttpAnswer> answer = pending;
    HttpAnswer value = received;
    if (answer == null || value == null) {
      return;
    }
    boolean reusable = keepAlive && !ambiguous && !decoder.hasUndecodedBytes();
    pending = null;
    received = null;
    reused = true;
    decoder.finish();
    if (!reusable) {
      channel.close();
    }
    answer.complete(value);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    complete(ctx.channel());
    fail(ctx.channel(), connectionLost(ctx.channel()));
    ctx.fireChannelInactive();
  }

  private ResultCodeException connectionLost(Channel channel) {
    String peer = String.valueOf(channel.remoteAddress());
    if (decoder.hasStarted()) {
      return new ResultCodeException(
          ResultCode.TRUNCATED_ANSWER, "the connection to " + peer + " ended within the answer");
    }
    String message = "the connection to " + peer + " was lost before an answer came";
    return reused
        ? new StaleConnectionException(message)
        : new ResultCodeException(ResultCode.OUTCOME_UNKNOWN, message);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof ResultCodeException) {
      fail(ctx.channel(), (ResultCodeException) cause);
    } else if (cause instanceof TooLongFrameException) {
      fail(ctx.channel(), ResultCode.ANSWER_TOO_LARGE, "the answer is over the limit");
    } else {
      ResultCodeException lost = connectionLost(ctx.channel());
      lost.initCause(cause);
      fail(ctx.channel(), lost);
    }
  }

  private void fail(Channel channel, ResultCode code, String message) {
    fail(channel, new ResultCodeException(code, message));
  }

  private void fail(Channel channel, ResultCodeException failure) {
    CompletableFuture<HttpAnswer> answer = pending;
    pending = null;
    received = null;
    decoder.finish();
    ConnectionResets.reset(channel);
    if (answer != null) {
      answer.completeExceptionally(failure);
    }
  }
}
