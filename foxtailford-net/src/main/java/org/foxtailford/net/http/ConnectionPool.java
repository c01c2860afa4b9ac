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
 * Pool of connections to one address, with a limit on open connections and a lower one on those
 * that are being opened.
 *
 * <p>When a request times out, the idle connections without an answer since that request was sent
 * are closed too: a device on the network path, such as a firewall, may have dropped their state.
 *
 * <p>Thread-safe. The lock guards state changes only; futures are completed outside it.
 */
final class ConnectionPool {

  /** Maximum number of connections to one address that are being opened at the same time. */
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
  private long eventCount;
  private boolean closed;

  /**
   * A connection with its boot id. Its last request and last answer are ordered by the pool's event
   * counter, not by a clock.
   */
  static final class PooledConnection {

    private final Channel channel;
    private volatile OptionalLong bootId = OptionalLong.empty();
    private long lastSentEvent;
    private long lastAnsweredEvent;

    PooledConnection(Channel channel) {
      this.channel = channel;
    }

    Channel channel() {
      return channel;
    }

    /** Returns the boot id of the process that accepted the connection; empty until it is known. */
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
   * Acquires a connection, which the receiver must either release or discard.
   *
   * @param timeoutMs remaining time of the request, in milliseconds; waits for at most 1 s of it
   * @return the connection; fails with {@link ResultCode#UPSTREAM_UNREACHABLE} if none becomes
   *     available in time or too many requests are waiting
   */
  CompletableFuture<PooledConnection> acquire(long timeoutMs) {
    PooledConnection pooled;
    CompletableFuture<PooledConnection> acquired = new CompletableFuture<>();
    synchronized (this) {
      pooled = pollIdle();
      if (pooled == null) {
        if (closed || waiting.size() >= MAX_WAITING) {
          return CompletableFuture.failedFuture(unreachable("too many requests wait", null));
        }
        waiting.add(acquired);
      }
    }
    if (pooled != null) {
      acquired.complete(pooled);
      return acquired;
    }
    connectAsNeeded();
    if (!acquired.isDone()) {
      long waitMs = Math.min(timeoutMs, ACQUIRE_TIMEOUT_MS);
      var timer = timers.schedule(() -> failOnTimeout(acquired), waitMs, TimeUnit.MILLISECONDS);
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
      connection.lastSentEvent = ++eventCount;
    }
    return connection;
  }

  private void failOnTimeout(CompletableFuture<PooledConnection> acquired) {
    synchronized (this) {
      waiting.remove(acquired);
    }
    acquired.completeExceptionally(unreachable("no connection became free in time", null));
  }

  /** Returns a connection whose request was answered, or which was not used, to the pool. */
  void release(PooledConnection connection) {
    CompletableFuture<PooledConnection> next = null;
    synchronized (this) {
      connection.lastAnsweredEvent = ++eventCount;
      if (!connection.channel.isActive()) {
        return;
      }
      next = closed ? null : waiting.pollFirst();
      if (next == null) {
        idle.addFirst(connection);
      } else {
        connection.lastSentEvent = ++eventCount;
      }
    }
    if (next != null) {
      handOut(connection, next);
    }
  }

  /**
   * Closes a connection whose request failed.
   *
   * @param timedOut whether the request timed out, which also closes the idle connections that have
   *     not answered since it was sent
   */
  void discard(PooledConnection connection, boolean timedOut) {
    connection.channel.close();
    List<PooledConnection> stale = timedOut ? removeStale(connection) : List.of();
    stale.forEach(staleConnection -> staleConnection.channel.close());
  }

  private synchronized List<PooledConnection> removeStale(PooledConnection timedOutConnection) {
    List<PooledConnection> stale = new ArrayList<>();
    for (PooledConnection other : idle) {
      if (other.lastAnsweredEvent < timedOutConnection.lastSentEvent) {
        stale.add(other);
      }
    }
    idle.removeAll(stale);
    return stale;
  }

  private void connectAsNeeded() {
    int count;
    synchronized (this) {
      int capacity = Math.min(maxConnections - open, MAX_CONNECTING - connecting);
      count = closed ? 0 : Math.max(0, Math.min(capacity, waiting.size() - connecting));
      open += count;
      connecting += count;
    }
    for (int i = 0; i < count; i++) {
      connector.get().addListener((ChannelFuture connected) -> onConnected(connected));
    }
  }

  private void onConnected(ChannelFuture connected) {
    synchronized (this) {
      connecting--;
    }
    if (!connected.isSuccess()) {
      CompletableFuture<PooledConnection> oldest;
      synchronized (this) {
        open--;
        oldest = waiting.pollFirst();
      }
      if (oldest != null) {
        oldest.completeExceptionally(unreachable("no connection", connected.cause()));
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

  private void handOut(PooledConnection connection, CompletableFuture<PooledConnection> next) {
    if (!next.complete(connection)) {
      release(connection);
    }
  }

  private static ResultCodeException unreachable(String message, @Nullable Throwable cause) {
    return cause == null
        ? new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, message)
        : new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, message, cause);
  }

  /** Closes the idle connections and fails the waiting requests. */
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
