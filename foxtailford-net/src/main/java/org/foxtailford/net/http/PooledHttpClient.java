package org.foxtailford.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.ConnectionPool.PooledConnection;
import org.foxtailford.schema.Endpoint;

/**
 * Client with a bounded pool of connections to each address and one request at a time on each.
 *
 * <p>A connection whose request failed, timed out or was cancelled is closed, so a late answer
 * never meets another request. An answer that repeats another attempt's number in {@link
 * FoxtailHeaders#ATTEMPT} fails with {@link ResultCode#CROSSED_ANSWER}. Thread-safe.
 */
public final class PooledHttpClient implements HttpClient, AutoCloseable {

  private static final int CONNECT_TIMEOUT_MS = 1000;

  private final int maxConnections;
  private final int maxAnswerBytes;
  private final EventLoopGroup loops;
  private final Bootstrap bootstrap;
  private final ConcurrentMap<Endpoint, ConnectionPool> pools = new ConcurrentHashMap<>();

  /**
   * Creates a client.
   *
   * @param loops event loops of the connections
   * @param maxConnections most connections to one address
   * @param maxAnswerBytes largest body of an answer, in bytes
   */
  public PooledHttpClient(EventLoopGroup loops, int maxConnections, int maxAnswerBytes) {
    this.loops = Assert.notNull(loops, "loops");
    this.maxConnections = maxConnections;
    this.maxAnswerBytes = maxAnswerBytes;
    this.bootstrap =
        new Bootstrap()
            .group(loops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    addHandlers(channel);
                  }
                });
  }

  private ConnectionPool createPool(Endpoint endpoint) {
    return new ConnectionPool(
        () -> bootstrap.connect(endpoint.getHost(), endpoint.getPort()),
        loops.next(),
        maxConnections);
  }

  private void addHandlers(Channel channel) {
    AnswerDecoder decoder = new AnswerDecoder();
    channel
        .pipeline()
        .addLast(decoder)
        .addLast(new HttpRequestEncoder())
        .addLast(new AnswerFramingHandler(decoder))
        .addLast(new HttpObjectAggregator(maxAnswerBytes))
        .addLast(new HttpClientHandler(decoder));
  }

  /**
   * {@inheritDoc}
   *
   * <p>A failure is a {@link StaleConnectionException} if the connection had answered before and
   * was lost without a byte of this answer. Cancelling the future closes the connection.
   */
  @Override
  public CompletableFuture<HttpAnswer> send(
      Endpoint endpoint, HttpExchange exchange, long timeoutMs) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    ConnectionPool pool = pools.computeIfAbsent(endpoint, this::createPool);
    CompletableFuture<PooledConnection> acquired = pool.acquire(timeoutMs);
    acquired.whenComplete(
        (connection, failure) -> {
          if (failure != null) {
            answer.completeExceptionally(failure);
          } else if (answer.isDone()) {
            pool.release(connection);
          } else {
            start(pool, connection, endpoint, exchange, timeoutMs, answer);
          }
        });
    return answer;
  }

  private static void start(
      ConnectionPool pool,
      PooledConnection connection,
      Endpoint endpoint,
      HttpExchange exchange,
      long timeoutMs,
      CompletableFuture<HttpAnswer> answer) {
    Channel channel = connection.channel();
    HttpClientHandler handler = channel.pipeline().get(HttpClientHandler.class);
    String host = endpoint.getHost() + ":" + endpoint.getPort();
    CompletableFuture<HttpAnswer> exchanged =
        handler.exchange(channel, HttpMessages.toRequest(exchange, host), timeoutMs);
    exchanged.whenComplete(
        (received, failure) -> {
          if (failure == null) {
            pool.release(connection);
            answer.complete(received);
          } else {
            boolean timedOut = ResultCodeException.codeOf(failure) == ResultCode.ANSWER_TIMEOUT;
            pool.discard(connection, timedOut);
            answer.completeExceptionally(failure);
          }
        });
    answer.whenComplete((received, failure) -> handler.abandon(channel, exchanged));
  }

  @Override
  public void close() {
    pools.values().forEach(ConnectionPool::close);
  }
}
