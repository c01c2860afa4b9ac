package org.foxtailford.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.schema.Endpoint;

/**
 * HTTP client that sends each request on a connection of its own, for operators' programs. The time
 * that the connection takes counts against the request's timeout. Thread-safe.
 */
public final class SingleRequestClient implements HttpClient {

  private final EventLoopGroup loops;
  private final int maxAnswerBytes;
  private final Function<Endpoint, ChannelSecurity> security;
  private final MillisClock clock;

  /**
   * Creates a client.
   *
   * @param loops event loops of the connections
   * @param maxAnswerBytes maximum size of an answer's body, in bytes
   * @param security security of the connections to an address
   */
  public SingleRequestClient(
      EventLoopGroup loops,
      int maxAnswerBytes,
      Function<Endpoint, ChannelSecurity> security,
      MillisClock clock) {
    this.loops = Assert.notNull(loops, "loops");
    this.maxAnswerBytes = maxAnswerBytes;
    this.security = Assert.notNull(security, "security");
    this.clock = Assert.notNull(clock, "clock");
  }

  @Override
  public CompletableFuture<HttpAnswer> send(
      Endpoint endpoint, HttpExchange exchange, long timeoutMs) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    long deadlineMs = clock.nowMs() + timeoutMs;
    ChannelSecurity connectionSecurity = security.apply(endpoint);
    new Bootstrap()
        .group(loops)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) timeoutMs)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                PooledHttpClient.addHandlers(channel, maxAnswerBytes, Optional.empty());
                connectionSecurity.secure(channel);
              }
            })
        .connect(endpoint.getHost(), endpoint.getPort())
        .addListener(
            (ChannelFuture connected) ->
                secured(connected, deadlineMs)
                    .addListener(
                        ready -> {
                          String host = endpoint.getHost() + ":" + endpoint.getPort();
                          FullHttpRequest request = HttpMessages.toRequest(exchange, host);
                          exchange(connected.channel(), ready, request, deadlineMs, answer);
                        }));
    return answer;
  }

  /** Returns when a connection can be used, which is after its handshake if it has one. */
  private Future<?> secured(ChannelFuture connected, long deadlineMs) {
    SslHandler handler = connected.channel().pipeline().get(SslHandler.class);
    if (handler == null || !connected.isSuccess()) {
      return connected;
    }
    handler.setHandshakeTimeoutMillis(Math.max(1, deadlineMs - clock.nowMs()));
    return handler.handshakeFuture();
  }

  private void exchange(
      Channel channel,
      Future<?> ready,
      FullHttpRequest request,
      long deadlineMs,
      CompletableFuture<HttpAnswer> answer) {
    long leftMs = deadlineMs - clock.nowMs();
    HttpClientHandler handler = channel.pipeline().get(HttpClientHandler.class);
    if (!ready.isSuccess() || leftMs <= 0 || handler == null) { // none once it is closed
      channel.close();
      request.release();
      String reason = ready.isSuccess() ? "closed or too late" : String.valueOf(ready.cause());
      answer.completeExceptionally(
          new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, "no connection: " + reason));
      return;
    }
    handler
        .exchange(channel, request, leftMs)
        .whenComplete(
            (received, failure) -> {
              channel.close();
              if (failure == null) {
                answer.complete(received);
              } else {
                answer.completeExceptionally(failure);
              }
            });
  }
}
