package org.foxtailford.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.pool.AbstractChannelPoolHandler;
import io.netty.channel.pool.AbstractChannelPoolMap;
import io.netty.channel.pool.ChannelHealthChecker;
import io.netty.channel.pool.FixedChannelPool;
import io.netty.channel.pool.FixedChannelPool.AcquireTimeoutAction;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.Endpoint;

/**
 * Client with a bounded pool of connections to each address and one request at a time on each.
 *
 * <p>A connection whose request failed or timed out is closed, so a late answer never meets another
 * request. Thread-safe.
 */
public final class PooledHttpClient implements HttpClient, AutoCloseable {

  private static final int CONNECT_TIMEOUT_MS = 1000;
  private static final int ACQUIRE_TIMEOUT_MS = 1000;
  private static final int MAX_WAITING_ACQUIRES = 4096;

  private final int maxConnections;
  private final int maxAnswerBytes;
  private final Bootstrap bootstrap;
  private final AbstractChannelPoolMap<Endpoint, FixedChannelPool> pools;

  /**
   * Creates a client.
   *
   * @param loops event loops of the connections
   * @param maxConnections most connections to one address
   * @param maxAnswerBytes largest body of an answer, in bytes
   */
  public PooledHttpClient(EventLoopGroup loops, int maxConnections, int maxAnswerBytes) {
    this.maxConnections = maxConnections;
    this.maxAnswerBytes = maxAnswerBytes;
    this.bootstrap =
        new Bootstrap()
            .group(Assert.notNull(loops, "loops"))
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    this.pools =
        new AbstractChannelPoolMap<>() {
          @Override
          protected FixedChannelPool newPool(Endpoint endpoint) {
            return createPool(endpoint);
          }
        };
  }

  private FixedChannelPool createPool(Endpoint endpoint) {
    Bootstrap target =
        bootstrap
            .clone()
            .remoteAddress(new InetSocketAddress(endpoint.getHost(), endpoint.getPort()));
    return new FixedChannelPool(
        target,
        new AbstractChannelPoolHandler() {
          @Override
          public void channelCreated(Channel channel) {
            addHandlers(channel);
          }
        },
        ChannelHealthChecker.ACTIVE,
        AcquireTimeoutAction.FAIL,
        ACQUIRE_TIMEOUT_MS,
        maxConnections,
        MAX_WAITING_ACQUIRES);
  }

  private void addHandlers(Channel channel) {
    channel
        .pipeline()
        .addLast(new HttpClientCodec())
        .addLast(new AnswerFramingHandler())
        .addLast(new HttpObjectAggregator(maxAnswerBytes))
        .addLast(new HttpClientHandler());
  }

  @Override
  public CompletableFuture<HttpAnswer> send(
      Endpoint endpoint, HttpExchange exchange, long timeoutMs) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    FixedChannelPool pool = pools.get(endpoint);
    pool.acquire()
        .addListener(
            (Future<Channel> acquired) -> {
              if (acquired.isSuccess()) {
                start(pool, acquired.getNow(), endpoint, exchange, timeoutMs, answer);
              } else {
                String address = endpoint.getHost() + ":" + endpoint.getPort();
                answer.completeExceptionally(
                    new ResultCodeException(
                        ResultCode.UPSTREAM_UNREACHABLE,
                        "no connection to " + address,
                        acquired.cause()));
              }
            });
    return answer;
  }

  private static void start(
      FixedChannelPool pool,
      Channel channel,
      Endpoint endpoint,
      HttpExchange exchange,
      long timeoutMs,
      CompletableFuture<HttpAnswer> answer) {
    HttpClientHandler handler = channel.pipeline().get(HttpClientHandler.class);
    String host = endpoint.getHost() + ":" + endpoint.getPort();
    CompletableFuture<HttpAnswer> exchanged =
        handler.exchange(channel, HttpMessages.toRequest(exchange, host), timeoutMs);
    exchanged.whenComplete(
        (received, failure) -> {
          if (failure != null) {
            channel.close();
          }
          pool.release(channel);
          if (failure != null) {
            answer.completeExceptionally(failure);
          } else {
            answer.complete(received);
          }
        });
    answer.whenComplete((received, failure) -> handler.abandon(channel, exchanged));
  }

  @Override
  public void close() {
    pools.close();
  }
}
