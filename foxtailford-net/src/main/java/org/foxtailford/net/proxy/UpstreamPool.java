package org.foxtailford.net.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.exchange.ExchangeDialect;
import org.jspecify.annotations.Nullable;

/**
 * Connections of this VM to one upstream; those used last are used first. One life of an upstream
 * has one pool, so that no connection outlives the process that it leads to. Used on the event loop
 * only.
 */
public final class UpstreamPool {

  /** Time for which an idle connection is used if the upstream states none, in milliseconds. */
  static final long UNSTATED_KEEP_ALIVE_MS = 5000;

  /** Time before the stated end of an idle connection at which it is no longer used. */
  static final long CLOSE_MARGIN_MS = 1000;

  /** Longest time for a connect, in milliseconds; many times a round trip between data centres. */
  private static final int CONNECT_TIMEOUT_MS = 400;

  private static final WriteBufferWaterMark WRITE_MARKS =
      new WriteBufferWaterMark(64 << 10, 128 << 10);

  private final Bootstrap bootstrap;
  private final UpstreamAddress address;
  private final Deque<UpstreamConnection> idle = new ArrayDeque<>();
  private final Set<UpstreamConnection> open = new HashSet<>();
  private int mostConnections = Integer.MAX_VALUE;
  private int connecting;
  private boolean closed;
  private long connects;

  /** Creates a pool without connections. */
  public UpstreamPool(
      EventLoopGroup loop, UpstreamAddress address, ExchangeDialect dialect, MillisClock clock) {
    this.address = Assert.notNull(address, "address");
    this.bootstrap =
        new Bootstrap()
            .group(Assert.notNull(loop, "loop"))
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_MARKS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    UpstreamAnswerDecoder decoder = new UpstreamAnswerDecoder();
                    channel
                        .pipeline()
                        .addLast(decoder)
                        .addLast(new HttpRequestEncoder())
                        .addLast(
                            new UpstreamConnection(UpstreamPool.this, decoder, dialect, clock));
                  }
                });
  }

  /** Bounds the open connections; those beyond it end when they become idle. */
  public void setMaxConnections(int newMostConnections) {
    mostConnections = Math.max(1, newMostConnections);
  }

  /** Returns whether a request finds a connection, or may open one. */
  public boolean hasRoom() {
    return !idle.isEmpty() || open.size() + connecting < mostConnections;
  }

  /** Sends a request; what becomes of it is told to the listener. */
  public UpstreamSend send(UpstreamRequest request, UpstreamListener listener) {
    UpstreamSend send = new UpstreamSend(request, listener);
    UpstreamConnection reused = pollFresh(request.maxIdleMs());
    if (reused != null) {
      send.start(reused);
    } else if (closed) {
      send.fail(UpstreamFailure.NOT_CONNECTED, "the upstream has left");
    } else {
      if (!idle.isEmpty() && open.size() + connecting >= mostConnections) {
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

  private @Nullable UpstreamConnection pollFresh(long maxIdleMs) {
    for (UpstreamConnection connection : List.copyOf(idle)) {
      if (!connection.isActive()) {
        idle.remove(connection);
      } else if (connection.isFresh(maxIdleMs)) {
        idle.remove(connection);
        return connection;
      }
    }
    return null;
  }

  private void onConnected(ChannelFuture connected, UpstreamSend send) {
    connecting--;
    if (!connected.isSuccess()) {
      Throwable cause = connected.cause();
      boolean refused =
          cause instanceof ConnectException
              && String.valueOf(cause.getMessage()).contains("refused");
      send.fail(
          refused ? UpstreamFailure.REFUSED : UpstreamFailure.NOT_CONNECTED, String.valueOf(cause));
      return;
    }
    UpstreamConnection connection = connected.channel().pipeline().get(UpstreamConnection.class);
    if (connection == null) {
      send.fail(UpstreamFailure.NOT_CONNECTED, "the connection ended at once");
      return;
    }
    open.add(connection);
    if (send.releaseIfAbandoned()) {
      release(connection);
    } else {
      send.start(connection);
    }
  }

  void release(UpstreamConnection connection) {
    if (closed || open.size() > mostConnections) {
      connection.abandon();
    } else {
      idle.addFirst(connection);
    }
  }

  void closed(UpstreamConnection connection) {
    open.remove(connection);
    idle.remove(connection);
  }

  /** Closes the idle connections; those with a request end after it. */
  public void close() {
    closed = true;
    List.copyOf(idle).forEach(UpstreamConnection::abandon);
    idle.clear();
  }

  /** Returns the number of open connections. */
  public int openConnections() {
    return open.size();
  }

  /** Returns how many connections were begun. */
  public long connects() {
    return connects;
  }
}
