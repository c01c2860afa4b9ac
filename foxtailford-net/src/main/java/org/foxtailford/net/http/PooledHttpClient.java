package org.foxtailford.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.Endpoint;

/**
 * Client with a bounded pool of connections to each address and one request at a time on each.
 *
 * <p>A connection whose request failed, timed out or was cancelled is closed, so a late answer
 * never meets another request. An answer that repeats another attempt's number in {@link
 * FoxtailHeaders#ATTEMPT} fails with {@link ResultCode#CROSSED_ANSWER}. Thread-safe.
 */
public final class PooledHttpClient implements HttpClient, UpstreamClient, AutoCloseable {

  private static final int CONNECT_TIMEOUT_MS = 1000;

  private final int maxConnections;
  private final int maxAnswerBytes;
  private final EventLoopGroup loops;
  private final BootIdListener bootIds;
  private final MillisClock clock = new SystemMillisClock();
  private final Bootstrap bootstrap;
  private final ConcurrentMap<EndpointKey, EndpointSender> senders = new ConcurrentHashMap<>();

  /**
   * Creates a client that tells nobody of boot ids.
   *
   * @param loops event loops of the connections
   * @param maxConnections most connections to one address
   * @param maxAnswerBytes largest body of an answer, in bytes
   */
  public PooledHttpClient(EventLoopGroup loops, int maxConnections, int maxAnswerBytes) {
    this(loops, maxConnections, maxAnswerBytes, (endpoint, bootId) -> {});
  }

  /**
   * Creates a client.
   *
   * @param loops event loops of the connections
   * @param maxConnections most connections to one address
   * @param maxAnswerBytes largest body of an answer, in bytes
   * @param bootIds told of the boot id of each connection that gives one
   */
  public PooledHttpClient(
      EventLoopGroup loops, int maxConnections, int maxAnswerBytes, BootIdListener bootIds) {
    this.loops = Assert.notNull(loops, "loops");
    this.bootIds = Assert.notNull(bootIds, "bootIds");
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
                    addHandlers(channel, maxAnswerBytes);
                  }
                });
  }

  private EndpointSender newSender(Endpoint endpoint) {
    ConnectionPool pool =
        new ConnectionPool(
            () -> bootstrap.connect(endpoint.getHost(), endpoint.getPort()),
            loops.next(),
            maxConnections);
    return new EndpointSender(endpoint, pool, bootIds, clock);
  }

  private EndpointSender sender(Endpoint endpoint) {
    return senders.computeIfAbsent(EndpointKey.of(endpoint), key -> newSender(endpoint));
  }

  static void addHandlers(Channel channel, int maxAnswerBytes) {
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
    return sender(endpoint).send(exchange, timeoutMs);
  }

  @Override
  public CompletableFuture<HttpAnswer> send(
      Endpoint endpoint, HttpExchange exchange, OptionalLong bootId, long timeoutMs) {
    return bootId.isEmpty()
        ? send(endpoint, exchange, timeoutMs)
        : sender(endpoint).send(exchange, bootId.getAsLong(), timeoutMs);
  }

  /**
   * Reads the boot id of the process at an address.
   *
   * @return fails with {@link ResultCode#UPSTREAM_UNREACHABLE} if it gives none in time
   */
  public CompletableFuture<Long> readBootId(Endpoint endpoint, long timeoutMs) {
    return sender(endpoint).readBootId(timeoutMs);
  }

  @Override
  public void close() {
    senders.values().forEach(EndpointSender::close);
  }
}
