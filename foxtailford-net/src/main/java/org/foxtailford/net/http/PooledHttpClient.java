package org.foxtailford.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.util.AsciiString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * HTTP client with a bounded connection pool for each address and at most one request in flight on
 * each connection.
 *
 * <p>A connection whose request failed, timed out or was cancelled is closed, so that a late answer
 * is never taken for the answer to another request. An answer that echoes another attempt's number
 * in {@link FoxtailHeaders#ATTEMPT} fails with {@link ResultCode#CROSSED_ANSWER}; one that echoes
 * another value of the client's {@link EchoedId} is skipped. Thread-safe.
 */
public final class PooledHttpClient implements HttpClient, UpstreamClient, AutoCloseable {

  private static final int CONNECT_TIMEOUT_MS = 1000;

  private final int maxConnections;
  private final int maxAnswerBytes;
  private final EventLoopGroup loops;
  private final BootIdListener bootIdListener;
  private final MillisClock clock = new SystemMillisClock();
  private final Bootstrap bootstrap;
  private final ConcurrentMap<EndpointKey, EndpointSender> senders = new ConcurrentHashMap<>();

  /**
   * Creates a client without a boot id listener.
   *
   * @param loops event loops of the connections
   * @param maxConnections maximum number of connections to each address
   * @param maxAnswerBytes maximum size of an answer's body, in bytes
   */
  public PooledHttpClient(EventLoopGroup loops, int maxConnections, int maxAnswerBytes) {
    this(loops, maxConnections, maxAnswerBytes, (endpoint, bootId) -> {}, Optional.empty());
  }

  /**
   * Creates a client that tells the answers on a connection apart by a field that they echo.
   *
   * @param loops event loops of the connections
   * @param maxConnections maximum number of connections to each address
   * @param maxAnswerBytes maximum size of an answer's body, in bytes
   * @param echoedId field that each request has
   */
  public PooledHttpClient(
      EventLoopGroup loops, int maxConnections, int maxAnswerBytes, EchoedId echoedId) {
    this(
        loops,
        maxConnections,
        maxAnswerBytes,
        (endpoint, bootId) -> {},
        Optional.of(Assert.notNull(echoedId, "echoedId")));
  }

  /**
   * Creates a client with a boot id listener.
   *
   * @param loops event loops of the connections
   * @param maxConnections maximum number of connections to each address
   * @param maxAnswerBytes maximum size of an answer's body, in bytes
   * @param bootIdListener notified of the boot id of each connection, if the upstream returns one
   */
  public PooledHttpClient(
      EventLoopGroup loops, int maxConnections, int maxAnswerBytes, BootIdListener bootIdListener) {
    this(loops, maxConnections, maxAnswerBytes, bootIdListener, Optional.empty());
  }

  private PooledHttpClient(
      EventLoopGroup loops,
      int maxConnections,
      int maxAnswerBytes,
      BootIdListener bootIdListener,
      Optional<EchoedId> echoedId) {
    this.loops = Assert.notNull(loops, "loops");
    this.bootIdListener = Assert.notNull(bootIdListener, "bootIdListener");
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
                    addHandlers(channel, maxAnswerBytes, echoedId);
                  }
                });
  }

  private EndpointSender newSender(Endpoint endpoint) {
    ConnectionPool pool =
        new ConnectionPool(
            () -> bootstrap.connect(endpoint.getHost(), endpoint.getPort()),
            loops.next(),
            maxConnections);
    return new EndpointSender(endpoint, pool, bootIdListener, clock);
  }

  private EndpointSender sender(Endpoint endpoint) {
    return senders.computeIfAbsent(EndpointKey.of(endpoint), key -> newSender(endpoint));
  }

  static void addHandlers(Channel channel, int maxAnswerBytes, Optional<EchoedId> echoedId) {
    List<AsciiString> singleFields = new ArrayList<>(FoxtailHeaders.SINGLE_IN_ANSWERS);
    echoedId.map(EchoedId::field).map(AsciiString::cached).ifPresent(singleFields::add);
    AnswerDecoder decoder = new AnswerDecoder(singleFields);
    channel
        .pipeline()
        .addLast(decoder)
        .addLast(new RequestEncoder())
        .addLast(new AnswerFramingHandler(decoder))
        .addLast(new HttpObjectAggregator(maxAnswerBytes))
        .addLast(new HttpClientHandler(decoder, echoedId));
  }

  /**
   * {@inheritDoc}
   *
   * <p>Fails with a {@link StaleConnectionException} if a reused connection was lost before any
   * byte of the answer was received. Cancelling the future closes the connection.
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
   * Requests the boot id of the process at an address.
   *
   * @return the boot id; fails with {@link ResultCode#UPSTREAM_UNREACHABLE} if none is received in
   *     time
   */
  public CompletableFuture<Long> readBootId(Endpoint endpoint, long timeoutMs) {
    return sender(endpoint).readBootId(timeoutMs);
  }

  @Override
  public void close() {
    senders.values().forEach(EndpointSender::close);
  }
}
