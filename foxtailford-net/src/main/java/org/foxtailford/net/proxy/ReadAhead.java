package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import org.foxtailford.core.overload.ByteBudget;
import org.foxtailford.core.time.ArrivalClock;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.jspecify.annotations.Nullable;

/**
 * Reads on, up to a limit, while the requests of a caller's connection are not taken, and holds
 * what it has read.
 *
 * <p>The end of a connection is found only by reading up to it. A connection that was not read
 * while its requests wait would keep upstreams at work for a caller that has left. The event loop
 * reads one piece of a connection at a time, so the end may be there behind a request that was just
 * read: {@link #readOn()} finds it. Confined to the connection's event loop.
 */
final class ReadAhead extends ChannelInboundHandlerAdapter {

  /** Bytes held from which a connection is not read; some two hundred pipelined requests. */
  static final int MAX_HELD_BYTES = 64 << 10;

  /** Bytes that are passed on at a time. All requests in them are taken, also beyond the limit. */
  private static final int PASSED_BYTES = 1 << 10;

  private final CallerServer server;
  private final MillisClock clock;
  private final ArrivalClock arrivals;
  private final ByteBudget budget;
  private final ByteBudget.Share share;
  private final Deque<HeldBytes> held = new ArrayDeque<>();
  private @Nullable ChannelHandlerContext context;
  private boolean paused;
  private boolean discarding;
  private boolean passScheduled;
  private boolean readingOn;
  private long pieces;
  private boolean unread;
  private long unreadSinceMs;
  private long readFromPass;
  private long acceptedMs;
  private long receivedMs;
  private long earliestArrivalMs;

  /** Bytes of one read, with the time at which they were read and the earliest of their arrival. */
  private record HeldBytes(ByteBuf bytes, long receivedMs, long earliestArrivalMs) {

    int size() {
      return bytes.readableBytes() + CallerBuffers.PART_OVERHEAD_BYTES;
    }
  }

  ReadAhead(CallerServer server, MillisClock clock) {
    this.server = Assert.notNull(server, "server");
    this.clock = Assert.notNull(clock, "clock");
    this.arrivals = server.arrivals();
    this.budget = server.buffers().readAhead();
    this.share = budget.open(() -> {}, this::onCut);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    readFromPass = arrivals.pass();
    acceptedMs = clock.nowMs() - arrivals.maxAgeMs();
    server.admit(this);
  }

  /** Leaves a new connection unread until {@link #startReading()} is called. */
  void delayReading() {
    context().channel().config().setAutoRead(false);
  }

  /** Begins to read a new connection. */
  void startReading() {
    readFromPass = arrivals.pass();
    context().channel().config().setAutoRead(true);
  }

  private ChannelHandlerContext context() {
    return Assert.notNull(context, "context");
  }

  /** Returns when the bytes that are being passed on were read, in milliseconds. */
  long receivedMs() {
    return receivedMs;
  }

  /** Returns the earliest time at which these bytes can have arrived, in milliseconds. */
  long earliestArrivalMs() {
    return earliestArrivalMs;
  }

  /** Returns whether nothing is held. */
  boolean isEmpty() {
    return held.isEmpty();
  }

  /** Returns whether the connection is not read, so that its end is not noticed. */
  boolean isUnread() {
    return unread;
  }

  /**
   * Reads what the connection has, up to its end or until as much is held as may be. The bytes are
   * passed on later.
   *
   * @return whether there was anything to read, or the end
   */
  boolean readOn() {
    Channel channel = context().channel();
    long piecesBefore = pieces;
    if (!readingOn && !unread && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe) {
      readingOn = true;
      try {
        long piecesSoFar;
        do {
          piecesSoFar = pieces;
          ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        } while (pieces != piecesSoFar && channel.isOpen() && !unread);
      } finally {
        readingOn = false;
        schedulePass();
      }
    }
    return pieces != piecesBefore || !channel.isOpen();
  }

  /** Holds what is read from now on, or passes it on, the held bytes first. */
  void setPaused(boolean newPaused) {
    paused = newPaused;
    schedulePass();
    updateReading();
  }

  private void schedulePass() {
    if (!paused && !held.isEmpty() && !passScheduled) {
      passScheduled = true;
      context().executor().execute(this::passHeld); // the connection may be amid a change
    }
  }

  /** Drops what is held, and all that is still read. */
  void discard() {
    discarding = true;
    releaseHeld();
    updateReading();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    pieces++;
    if (arrivals.isLate()) {
      server.onReadLate(arrivals.maxAgeMs());
    }
    if (discarding && message instanceof ByteBuf) {
      ((ByteBuf) message).release();
    } else if (message instanceof ByteBuf && (paused || readingOn || !held.isEmpty())) {
      hold((ByteBuf) message);
    } else {
      receivedMs = clock.nowMs();
      earliestArrivalMs = earliestArrivalOfBytesReadMs(receivedMs);
      ctx.fireChannelRead(message);
    }
  }

  /**
   * Returns the earliest time at which bytes that are read now can have arrived. What a connection
   * has when it is first read may be as old as the connection.
   */
  private long earliestArrivalOfBytesReadMs(long nowMs) {
    long earliestMs = nowMs - arrivals.maxAgeMs();
    boolean first = arrivals.pass() <= readFromPass + 1;
    return first ? Math.min(acceptedMs, earliestMs) : earliestMs;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!readingOn) { // the handlers behind may be amid what was read before
      ctx.fireChannelReadComplete();
    }
  }

  /** Copies bytes, since read buffers may be many times larger than what they contain. */
  private void hold(ByteBuf bytes) {
    long nowMs = clock.nowMs();
    HeldBytes copy =
        new HeldBytes(Unpooled.copiedBuffer(bytes), nowMs, earliestArrivalOfBytesReadMs(nowMs));
    bytes.release();
    held.add(copy);
    share.add(copy.size());
    updateReading();
  }

  private void passHeld() {
    passScheduled = false;
    while (!paused && !held.isEmpty()) {
      HeldBytes next = held.peek();
      receivedMs = next.receivedMs();
      earliestArrivalMs = next.earliestArrivalMs();
      ByteBuf bytes = next.bytes();
      if (bytes.readableBytes() > PASSED_BYTES) {
        share.release(PASSED_BYTES);
        context().fireChannelRead(bytes.readRetainedSlice(PASSED_BYTES));
      } else {
        held.remove();
        share.release(next.size());
        context().fireChannelRead(bytes);
      }
    }
    updateReading();
  }

  private void updateReading() {
    boolean full =
        share.heldBytes() >= MAX_HELD_BYTES
            || (paused || readingOn) && !budget.hasRoom() && !held.isEmpty();
    boolean stop = full && !discarding;
    if (stop == unread) {
      return;
    }
    unread = stop;
    context().channel().config().setAutoRead(!stop);
    if (stop) {
      unreadSinceMs = clock.nowMs();
    } else {
      server.onReadAgain(clock.nowMs() - unreadSinceMs);
    }
  }

  private void onCut() {
    server.onReadAheadCut();
    context().close();
  }

  private void releaseHeld() {
    held.forEach(part -> part.bytes().release());
    held.clear();
    share.release(share.heldBytes());
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    discarding = true;
    releaseHeld();
    share.close();
    ctx.fireChannelInactive();
  }
}
