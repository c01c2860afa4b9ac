package org.foxtailford.net.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.jspecify.annotations.Nullable;

/**
 * Connections to one address: a bounded number, few of them being opened at the same time.
 *
 * <p>When a request on one of them times out, the idle ones that have not answered since that
 * request was sent are closed, since something between the two ends may have lost track of them.
 *
 * <p>Thread-safe. The lock is held for changes of state only; futures are completed without it.
 */
final class ConnectionPool {

  /** Connections to one address that may be in the state of being opened at the same time. */
  static final int MAX_CONNECTING = 4;

  private static final int MAX_WAITING = 4096;
  private static final int ACQUIRE_TIMEOUT_MS = 1000;

  private final Supplier<ChannelFuture> connector;
  private final EventExecutor timers;
  private final int maxConnections;
  private final Deque<PooledConnection> idle = new ArrayDeque<>();
  private final Deque<CompletableFuture<PooledConnection>> waiting = new ArrayDeque<>();
  private int open;
  private int connecting;
  private long events;
  private boolean closed;

  /** A connection, with its boot id and the order of its last request and its last answer. */
  static final class PooledConnection {

    private final Channel channel;
    private volatile OptionalLong bootId = OptionalLong.empty();
    private long sentAt;
    private long answeredAt;

    PooledConnection(Channel channel) {
      this.channel = channel;
    }

    Channel channel() {
      return channel;
    }

    /** Returns which start of the process the connection leads to, if that is known. */
    OptionalLong bootId() {
      return bootId;
    }

    void setBootId(long value) {
      bootId = OptionalLong.of(value);
    }
  }

  ConnectionPool(Supplier<ChannelFuture> connector, EventExecutor timers, int maxConnections) {
    this.connector = connector;
    this.timers = timers;
    this.maxConnections = maxConnections;
  }

  /**
   * Takes a connection. Its holder must either release or discard it.
   *
   * @param timeoutMs time left for the request, in milliseconds
   * @return fails with {@link ResultCode#UPSTREAM_UNREACHABLE} if there is none in time
   */
  CompletableFuture<PooledConnection> acquire(long timeoutMs) {
    PooledConnection reused;
    CompletableFuture<PooledConnection> acquired = new CompletableFuture<>();
    synchronized (this) {
      reused = pollIdle();
      if (reused == null) {
        if (closed || waiting.size() >= MAX_WAITING) {
          return CompletableFuture.failedFuture(unreachable("too many requests wait", null));
        }
        waiting.add(acquired);
      }
    }
    if (reused != null) {
      acquired.complete(reused);
      return acquired;
    }
    connectAsNeeded();
    if (!acquired.isDone()) {
      long waitMs = Math.min(timeoutMs, ACQUIRE_TIMEOUT_MS);
      var timer = timers.schedule(() -> giveUp(acquired), waitMs, TimeUnit.MILLISECONDS);
      acquired.whenComplete((connection, failure) -> timer.cancel(false));
    }
    return acquired;
  }

  private @Nullable PooledConnection pollIdle() {
    PooledConnection connection = idle.pollFirst();
    while (connection != null && !connection.channel.isActive()) {
      connection = idle.pollFirst();
    }
    if (connection != null) {
      connection.sentAt = ++events;
    }
    return connection;
  }

  private void giveUp(CompletableFuture<PooledConnection> acquired) {
    synchronized (this) {
      waiting.remove(acquired);
    }
    acquired.completeExceptionally(unreachable("no connection became free in time", null));
  }

  /** Gives back a connection whose request was answered. */
  void release(PooledConnection connection) {
    CompletableFuture<PooledConnection> next = null;
    synchronized (this) {
      connection.answeredAt = ++events;
      if (!connection.channel.isActive()) {
        return;
      }
      next = closed ? null : waiting.pollFirst();
      if (next == null) {
        idle.addFirst(connection);
      } else {
        connection.sentAt = ++events;
      }
    }
    if (next != null) {
      hand(connection, next);
    }
  }

  /** Gives back a connection whose request failed; it is closed. */
  void discard(PooledConnection connection, boolean timedOut) {
    connection.channel.close();
    List<PooledConnection> suspects = timedOut ? removeSuspects(connection) : List.of();
    suspects.forEach(suspect -> suspect.channel.close());
  }

  private synchronized List<PooledConnection> removeSuspects(PooledConnection silent) {
    List<PooledConnection> suspects = new ArrayList<>();
    for (PooledConnection other : idle) {
      if (other.answeredAt < silent.sentAt) {
        suspects.add(other);
      }
    }
    idle.removeAll(suspects);
    return suspects;
  }

  private void connectAsNeeded() {
    int wanted;
    synchronized (this) {
      int room = Math.min(maxConnections - open, MAX_CONNECTING - connecting);
      wanted = closed ? 0 : Math.max(0, Math.min(room, waiting.size() - connecting));
      open += wanted;
      connecting += wanted;
    }
    for (int i = 0; i < wanted; i++) {
      connector.get().addListener((ChannelFuture connected) -> onConnected(connected));
    }
  }

  private void onConnected(ChannelFuture connected) {
    synchronized (this) {
      connecting--;
    }
    if (!connected.isSuccess()) {
      CompletableFuture<PooledConnection> first;
      synchronized (this) {
        open--;
        first = waiting.pollFirst();
      }
      if (first != null) {
        first.completeExceptionally(unreachable("no connection", connected.cause()));
      }
      connectAsNeeded();
      return;
    }
    connected.channel().closeFuture().addListener(done -> onClosed());
    release(new PooledConnection(connected.channel()));
    connectAsNeeded();
  }

  private void onClosed() {
    synchronized (this) {
      open--;
      idle.removeIf(connection -> !connection.channel.isActive());
    }
    connectAsNeeded();
  }

  private void hand(PooledConnection connection, CompletableFuture<PooledConnection> next) {
    if (!next.complete(connection)) {
      release(connection);
    }
  }

  private static ResultCodeException unreachable(String message, @Nullable Throwable cause) {
    return cause == null
        ? new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, message)
        : new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, message, cause);
  }

  /** Closes the idle connections and fails the requests that wait. */
  void close() {
    List<PooledConnection> connections;
    List<CompletableFuture<PooledConnection>> requests;
    synchronized (this) {
      closed = true;
      connections = List.copyOf(idle);
      requests = List.copyOf(waiting);
      idle.clear();
      waiting.clear();
    }
    connections.forEach(connection -> connection.channel.close());
    requests.forEach(r -> r.completeExceptionally(unreachable("the client is closed", null)));
  }
}
