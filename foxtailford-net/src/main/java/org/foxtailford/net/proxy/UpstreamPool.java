package org.foxtailford.net.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.foxtailford.core.overload.ByteBudget;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.exchange.ExchangeDialect;
import org.foxtailford.net.http.AnswerDecoder;
import org.foxtailford.net.http.RequestEncoder;
import org.jspecify.annotations.Nullable;

/**
 * Pool of this VM's connections to one upstream; the most recently used one is reused first. Each
 * incarnation of an upstream has a pool of its own, so that no request is sent on a connection to
 * an earlier process. Confined to the event loop.
 */
public final class UpstreamPool {

  /** Keep-alive time if the upstream's answer states none, in milliseconds. */
  static final long DEFAULT_KEEP_ALIVE_MS = 5000;

  /**
   * Time before the end of the keep-alive time from which an idle connection is no longer reused,
   * in milliseconds; the upstream might close it while a request is on the way.
   */
  static final long CLOSE_MARGIN_MS = 1000;

  /** Connect timeout in milliseconds; many times a round trip between data centres. */
  private static final int CONNECT_TIMEOUT_MS = 400;

  /**
   * Size of the kernel's receive buffer of a connection, in bytes. By itself it grows to tens of
   * megabytes for an answer that is read fast, which no budget counts; this size allows some 80
   * Mbit/s at a round trip of 55 ms.
   */
  private static final int RECEIVE_BUFFER_BYTES = 512 << 10;

  /** Initial and least size of a read, in bytes. */
  private static final int INITIAL_READ_BYTES = 2048;

  private static final int MIN_READ_BYTES = 64;

  private static final WriteBufferWaterMark WRITE_WATER_MARKS =
      new WriteBufferWaterMark(64 << 10, 128 << 10);

  private final Bootstrap bootstrap;
  private final UpstreamAddress address;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Set<UpstreamConnection> open = new HashSet<>();
  private int maxConnections = Integer.MAX_VALUE;
  private int connecting;
  private boolean closed;
  private long connects;

  /**
   * Creates an empty pool.
   *
   * @param loop the event loop of all its connections, on which its methods must be called
   */
  public UpstreamPool(
      EventLoopGroup loop, UpstreamAddress address, ExchangeDialect dialect, MillisClock clock) {
    this.address = Assert.notNull(address, "address");
    this.bootstrap =
        new Bootstrap()
            .group(Assert.notNull(loop, "loop"))
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_WATER_MARKS)
            // A paused answer exceeds the budget of answers by one read.
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, INITIAL_READ_BYTES, ByteBudget.READ_BYTES))
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    AnswerDecoder decoder = new AnswerDecoder(dialect.singleAnswerFields());
                    channel
                        .pipeline()
                        .addLast(decoder)
                        .addLast(new RequestEncoder())
                        .addLast(
                            new UpstreamConnection(UpstreamPool.this, decoder, dialect, clock));
                  }
                });
  }

  /**
   * Sets the maximum number of connections, raised to 1 if lower. Connections in excess of it are
   * closed when they become idle.
   */
  public void setMaxConnections(int newMaxConnections) {
    maxConnections = Math.max(1, newMaxConnections);
  }

  /** Returns whether there is an idle connection, or one more may be opened. */
  public boolean hasRoom() {
    return !idle.isEmpty() || open.size() + connecting < maxConnections;
  }

  /** Returns whether there is an idle connection that was open when it was last used. */
  public boolean hasIdle() {
    return idle.stream().anyMatch(UpstreamConnection::isActive);
  }

  /** Resets the idle connections, which may be silent for good. */
  public void abandonIdle() {
    List.copyOf(idle).forEach(UpstreamConnection::abandon);
    idle.clear();
  }

  /**
   * Sends a request on an idle or a new connection, and notifies the listener of its events. The
   * request's gate is asked now, and again when a new connection is established.
   */
  public UpstreamSend send(UpstreamRequest request, UpstreamListener listener) {
    UpstreamSend send = new UpstreamSend(request, listener);
    if (send.isWithheld()) {
      return send;
    }
    UpstreamConnection reused = pollFresh(request);
    if (reused != null) {
      send.start(reused);
    } else if (closed) {
      send.fail(UpstreamFailure.NOT_CONNECTED, "the upstream is no longer registered");
    } else {
      if (!idle.isEmpty() && open.size() + connecting >= maxConnections) {
        idle.pollLast().abandon();
      }
      connects++;
      connecting++;
      bootstrap
          .connect(address.host(), address.port())
          .addListener((ChannelFuture connected) -> onConnected(connected, send));
    }
    return send;
  }

  /**
   * Opens a connection for later requests, to find out whether the upstream accepts any.
   *
   * @param outcome receives the failure; empty if a connection was opened
   */
  public void probe(Consumer<Optional<UpstreamFailure>> outcome) {
    if (closed) {
      outcome.accept(Optional.of(UpstreamFailure.NOT_CONNECTED));
      return;
    }
    connects++;
    connecting++;
    bootstrap
        .connect(address.host(), address.port())
        .addListener((ChannelFuture connected) -> onProbed(connected, outcome));
  }

  private void onProbed(ChannelFuture connected, Consumer<Optional<UpstreamFailure>> outcome) {
    connecting--;
    UpstreamConnection connection =
        connected.isSuccess() ? connected.channel().pipeline().get(UpstreamConnection.class) : null;
    if (connection == null) {
      outcome.accept(Optional.of(failureOf(connected)));
    } else {
      open.add(connection);
      release(connection);
      outcome.accept(Optional.empty());
    }
  }

  private static UpstreamFailure failureOf(ChannelFuture connected) {
    Throwable cause = connected.cause();
    boolean refused =
        cause instanceof ConnectException && String.valueOf(cause.getMessage()).contains("refused");
    return refused ? UpstreamFailure.REFUSED : UpstreamFailure.NOT_CONNECTED;
  }

  private @Nullable UpstreamConnection pollFresh(UpstreamRequest request) {
    for (UpstreamConnection connection : List.copyOf(idle)) {
      if (!connection.isActive()) {
        idle.remove(connection);
      } else if (connection.isFresh(request.maxIdleMs())
          && !request.usedConnections().contains(connection)) {
        idle.remove(connection);
        if (connection.isStillOpen()) {
          return connection;
        }
      }
    }
    return null;
  }

  private void onConnected(ChannelFuture connected, UpstreamSend send) {
    connecting--;
    if (!connected.isSuccess()) {
      send.fail(failureOf(connected), String.valueOf(connected.cause()));
      return;
    }
    UpstreamConnection connection = connected.channel().pipeline().get(UpstreamConnection.class);
    if (connection == null) {
      send.fail(UpstreamFailure.NOT_CONNECTED, "connection closed immediately after it was opened");
      return;
    }
    open.add(connection);
    if (closed && !send.releaseIfAbandoned()) {
      connection.abandon();
      send.fail(UpstreamFailure.NOT_CONNECTED, "the upstream is no longer registered");
    } else if (send.releaseIfAbandoned() || send.isWithheld()) {
      release(connection);
    } else {
      send.start(connection);
    }
  }

  void release(UpstreamConnection connection) {
    if (closed || open.size() > maxConnections) {
      connection.abandon();
    } else {
      idle.addFirst(connection);
    }
  }

  void onClosed(UpstreamConnection connection) {
    open.remove(connection);
    idle.remove(connection);
  }

  /** Closes the pool: idle connections now, those in use when their request has ended. */
  public void close() {
    closed = true;
    List.copyOf(idle).forEach(UpstreamConnection::abandon);
    idle.clear();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return open.size();
  }

  /** Returns the total number of connection attempts since the pool was created. */
  public long connects() {
    return connects;
  }
}
