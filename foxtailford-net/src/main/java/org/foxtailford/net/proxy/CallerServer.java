package org.foxtailford.net.proxy;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.ByteBudget;
import org.foxtailford.core.time.ArrivalClock;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.RequestDecoder;
import org.foxtailford.net.tcp.ListenerUtils;
import org.foxtailford.schema.Endpoint;
import org.jspecify.annotations.Nullable;

/** HTTP server for callers. All its connections share one event loop. */
public final class CallerServer {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Size of the kernel's send buffer of a connection, in bytes. It grows to megabytes by itself,
   * which thousands of slow callers would fill outside of the budget; this size allows some 500
   * Mbit/s at a round trip of 1 ms.
   */
  private static final int SEND_BUFFER_BYTES = 64 << 10;

  private static final int INITIAL_READ_BYTES = 2048;

  /** Number of reads of a connection in a pass of the event loop, while each finds all it asks. */
  private static final int READS_PER_PASS = 16;

  /** Least size of a read, in bytes; reads that find nothing make the next one smaller. */
  private static final int MIN_READ_BYTES = 1024;

  /** Number of new connections that are read from in a pass of the event loop. */
  private static final int STARTS_PER_PASS = 16;

  private static final long TIMEOUT_CHECK_INTERVAL_MS = 500;

  /** Time without reading from a connection from which a line is logged, in milliseconds. */
  private static final long LOGGED_UNREAD_MS = 500;

  private final EventLoopGroup loop;
  private final CallerHandler handler;
  private final CallerLimitsSource limits;
  private final MillisClock clock;
  private final ArrivalClock arrivals;
  private final CallerBuffers buffers;
  private final Set<CallerConnection> connections = new LinkedHashSet<>();
  private final Set<ChannelHandlerContext> pendingFlushes = new LinkedHashSet<>();
  private final Deque<ReadAhead> unstarted = new ArrayDeque<>();
  private @Nullable Channel listener;
  private long startPass;
  private int startedInPass;
  private boolean draining;
  private long readLate;

  /**
   * Creates a server.
   *
   * @param loop the single event loop of all its connections
   * @param arrivals tells how old what this loop reads may be
   * @param buffers memory for bodies and answers of all connections
   */
  public CallerServer(
      EventLoopGroup loop,
      CallerHandler handler,
      CallerLimitsSource limits,
      MillisClock clock,
      ArrivalClock arrivals,
      CallerBuffers buffers) {
    this.loop = Assert.notNull(loop, "loop");
    this.handler = Assert.notNull(handler, "handler");
    this.limits = Assert.notNull(limits, "limits");
    this.clock = Assert.notNull(clock, "clock");
    this.arrivals = Assert.notNull(arrivals, "arrivals");
    this.buffers = Assert.notNull(buffers, "buffers");
  }

  /**
   * Starts listening, and blocks until the listener is bound.
   *
   * @param endpoint address to listen on; port 0 selects a free port
   * @return the bound port
   */
  public int bind(Endpoint endpoint) {
    Channel bound =
        ListenerUtils.bind(
            ListenerUtils.bootstrap(loop, this::addHandlers)
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(
                    ChannelOption.RECVBUF_ALLOCATOR,
                    new AdaptiveRecvByteBufAllocator(
                            MIN_READ_BYTES, INITIAL_READ_BYTES, ByteBudget.READ_BYTES)
                        .maxMessagesPerRead(READS_PER_PASS)),
            endpoint);
    listener = bound;
    bound
        .eventLoop()
        .scheduleWithFixedDelay(
            this::closeTimedOut,
            TIMEOUT_CHECK_INTERVAL_MS,
            TIMEOUT_CHECK_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
    return ListenerUtils.portOf(bound);
  }

  private void addHandlers(SocketChannel channel) {
    ReadAhead readAhead = new ReadAhead(this, clock);
    CallerConnection connection = new CallerConnection(this, readAhead, handler, limits, clock);
    int maxHead = limits.get().maxHeaderBytes();
    channel
        .pipeline()
        .addLast(readAhead)
        .addLast(new ReceiveNotifier(connection))
        .addLast(new RequestDecoder(new HttpLimits(maxHead, Integer.MAX_VALUE)))
        .addLast(new HttpResponseEncoder())
        .addLast(connection);
  }

  /** Notifies the connection of received bytes before they are decoded. */
  private static final class ReceiveNotifier extends ChannelInboundHandlerAdapter {

    private final CallerConnection connection;

    ReceiveNotifier(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      connection.onBytesReceived();
      ctx.fireChannelRead(message);
    }
  }

  private void closeTimedOut() {
    long nowMs = clock.nowMs();
    List.copyOf(connections).forEach(connection -> connection.closeIfTimedOut(nowMs));
  }

  /**
   * Has a new connection read, in a later pass of the event loop if many are new: those that were
   * read before must be served meanwhile.
   */
  void admit(ReadAhead connection) {
    if (unstarted.isEmpty() && mayStart()) {
      return; // it is read as any channel is
    }
    connection.delayReading();
    if (unstarted.isEmpty()) {
      loop.next().schedule(this::startWaiting, 0, TimeUnit.MILLISECONDS);
    }
    unstarted.add(connection);
  }

  private boolean mayStart() {
    if (startPass != arrivals.pass()) {
      startPass = arrivals.pass();
      startedInPass = 0;
    }
    startedInPass++;
    return startedInPass <= STARTS_PER_PASS;
  }

  private void startWaiting() {
    for (int i = 0; i < STARTS_PER_PASS && !unstarted.isEmpty(); i++) {
      unstarted.remove().startReading();
    }
    if (!unstarted.isEmpty()) { // a task that is scheduled by a task runs after the next pass
      loop.next().schedule(this::startWaiting, 0, TimeUnit.MILLISECONDS);
    }
  }

  ArrivalClock arrivals() {
    return arrivals;
  }

  CallerBuffers buffers() {
    return buffers;
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

  /** Flushes a connection after the event loop's current tasks, to combine small writes. */
  void flushLater(ChannelHandlerContext context) {
    if (pendingFlushes.isEmpty()) {
      context.executor().execute(this::flush);
    }
    pendingFlushes.add(context);
  }

  private void flush() {
    List<ChannelHandlerContext> contexts = List.copyOf(pendingFlushes);
    pendingFlushes.clear();
    contexts.forEach(ChannelHandlerContext::flush);
  }

  /** Reports a connection that is cut off because the budget of answers is overdrawn. */
  void onCut() {
    logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "connection of a slow caller cut off, unsent answers are over twice their budget");
  }

  /** Reports a connection that is cut off because the budget of held requests is overdrawn. */
  void onReadAheadCut() {
    logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
        "connection of a caller cut off, requests read ahead are over twice their budget");
  }

  void onConnectionFailure(Throwable cause) {
    if (cause instanceof IOException) {
      logger.atFine().log("caller connection lost: %s", cause);
    } else {
      logger.atWarning().withCause(cause).atMostEvery(1, TimeUnit.SECONDS).log(
          "caller connection failed");
    }
  }

  /** Makes each connection close after its last answer; new ones are still accepted. */
  public void drain() {
    draining = true;
    connections.forEach(CallerConnection::drain);
  }

  /** Closes connections that are idle for a second, and returns the number of those still open. */
  public int closeIdle() {
    for (CallerConnection connection : List.copyOf(connections)) {
      if (connection.isIdle()) {
        connection.close();
      }
    }
    return connections.size();
  }

  /** Stops accepting connections; open connections are kept. */
  public void stopListening() {
    if (listener != null) {
      listener.close();
    }
  }

  /**
   * Returns the number of connections that are not read, since as much was read ahead as may be
   * held; the end of such a connection is not noticed.
   */
  public int unreadConnections() {
    return (int) connections.stream().filter(CallerConnection::isUnread).count();
  }

  /** Reports that a connection is read again after a time, in milliseconds. */
  void onReadAgain(long unreadMs) {
    if (unreadMs >= LOGGED_UNREAD_MS) {
      logger
          .atInfo()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.TOOK_MS, unreadMs)
          .log("connection of a caller was not read");
    }
  }

  /** Reports bytes that may have arrived so long before they were read, in milliseconds. */
  void onReadLate(long maxAgeMs) {
    readLate++;
    logger
        .atInfo()
        .atMostEvery(1, TimeUnit.SECONDS)
        .with(EventFields.AGE_MS, maxAgeMs)
        .log("callers were read late");
  }

  /** Returns how often bytes of a caller were read that may have arrived long before. */
  public long readLate() {
    return readLate;
  }

  /** Returns the number of open connections. */
  public int connections() {
    return connections.size();
  }
}
