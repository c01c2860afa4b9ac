package org.foxtailford.net.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.RequestDecoder;
import org.foxtailford.net.tcp.ListenerUtils;
import org.foxtailford.schema.Endpoint;
import org.jspecify.annotations.Nullable;

/** Listens for callers. All its connections share one event loop. */
public final class CallerServer {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Bytes of answers that may wait in one connection before its upstream is paused. */
  private static final WriteBufferWaterMark WRITE_MARKS =
      new WriteBufferWaterMark(64 << 10, 128 << 10);

  private static final long SWEEP_MS = 500;

  private final EventLoopGroup loop;
  private final CallerHandler handler;
  private final CallerLimitsSource limits;
  private final MillisClock clock;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private final Set<ChannelHandlerContext> unflushed = new LinkedHashSet<>();
  private @Nullable Channel listener;
  private boolean draining;

  /**
   * Creates a server.
   *
   * @param loop the single event loop of all its connections
   */
  public CallerServer(
      EventLoopGroup loop, CallerHandler handler, CallerLimitsSource limits, MillisClock clock) {
    this.loop = Assert.notNull(loop, "loop");
    this.handler = Assert.notNull(handler, "handler");
    this.limits = Assert.notNull(limits, "limits");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Starts to listen.
   *
   * @return the port
   */
  public int bind(Endpoint endpoint) {
    Channel bound =
        ListenerUtils.bind(
            ListenerUtils.bootstrap(loop, this::addHandlers)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_MARKS),
            endpoint);
    listener = bound;
    bound
        .eventLoop()
        .scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    return ListenerUtils.portOf(bound);
  }

  private void addHandlers(SocketChannel channel) {
    CallerConnection connection = new CallerConnection(this, handler, limits, clock);
    int maxHead = limits.get().maxHeaderBytes();
    channel
        .pipeline()
        .addLast(new ByteWatch(connection))
        .addLast(new RequestDecoder(new HttpLimits(maxHead, Integer.MAX_VALUE)))
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }

  /** Tells the connection of bytes before they are decoded. */
  private static final class ByteWatch extends ChannelInboundHandlerAdapter {

    private final CallerConnection connection;

    ByteWatch(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.onBytes();
      ctx.fireChannelRead(message);
    }
  }

  private void sweep() {
    long nowMs = clock.nowMs();
    List.copyOf(connections).forEach(connection -> connection.sweep(nowMs));
  }

  void add(CallerConnection connection) {
    connections.add(connection);
    if (draining) {
      connection.drain();
    }
  }

  void remove(CallerConnection connection) {
    connections.remove(connection);
  }

  /** Flushes a connection once everything that can be done now is done. */
  void flushLater(ChannelHandlerContext context) {
    if (unflushed.isEmpty()) {
      context.executor().execute(this::flush);
    }
    unflushed.add(context);
  }

  private void flush() {
    List<ChannelHandlerContext> due = List.copyOf(unflushed);
    unflushed.clear();
    due.forEach(ChannelHandlerContext::flush);
  }

  void onConnectionFailure(Throwable cause) {
    if (cause instanceof IOException) {
      logger.atFine().log("a caller's connection was lost: %s", cause);
    } else {
      logger.atWarning().withCause(cause).atMostEvery(1, TimeUnit.SECONDS).log(
          "a caller's connection failed");
    }
  }

  /** Ends each connection with its next answer; new ones are still taken. */
  public void drain() {
    draining = true;
    connections.forEach(CallerConnection::drain);
  }

  /** Closes the connections without a request, and returns how many are left. */
  public int closeIdle() {
    for (CallerConnection connection : List.copyOf(connections)) {
      if (connection.isIdle()) {
        connection.close();
      }
    }
    return connections.size();
  }

  /** Stops listening; open connections stay. */
  public void stopListening() {
    if (listener != null) {
      listener.close();
    }
  }

  /** Returns the number of open connections. */
  public int connections() {
    return connections.size();
  }
}
