package org.foxtailford.net.http;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.net.http.ConnectionPool.PooledConnection;
import org.foxtailford.schema.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to one address, optionally only to the process there with a given boot id.
 *
 * <p>A TCP connection leads to the same process for its whole lifetime, so its boot id is read
 * once: from any answer, or by a probe before the first request that requires it. A pooled
 * connection whose known boot id differs from the required one is closed. Thread-safe.
 */
final class EndpointSender {

  private final Endpoint endpoint;
  private final ConnectionPool pool;
  private final BootIdListener listener;
  private final MillisClock clock;

  EndpointSender(
      Endpoint endpoint, ConnectionPool pool, BootIdListener listener, MillisClock clock) {
    this.endpoint = endpoint;
    this.pool = pool;
    this.listener = listener;
    this.clock = clock;
  }

  /** Sends a request; its timeout starts once a connection is acquired. */
  CompletableFuture<HttpAnswer> send(HttpExchange exchange, long timeoutMs) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    pool.acquire(timeoutMs)
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                answer.completeExceptionally(failure);
              } else if (answer.isDone()) {
                pool.release(connection);
              } else {
                sendOn(connection, exchange, timeoutMs, answer);
              }
            });
    return answer;
  }

  /** Sends a request to the process with the given boot id; its timeout starts immediately. */
  CompletableFuture<HttpAnswer> send(HttpExchange exchange, long bootId, long timeoutMs) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    acquire(exchange, bootId, clock.nowMs() + timeoutMs, answer);
    return answer;
  }

  /** Returns the boot id of the current process, over a connection that returns to the pool. */
  CompletableFuture<Long> readBootId(long timeoutMs) {
    return pool.acquire(timeoutMs)
        .thenCompose(
            connection ->
                fetchBootId(connection, timeoutMs)
                    .whenComplete(
                        (id, failure) -> {
                          if (failure == null) {
                            pool.release(connection);
                          }
                        }));
  }

  private void acquire(
      HttpExchange exchange, long bootId, long deadlineMs, CompletableFuture<HttpAnswer> answer) {
    pool.acquire(deadlineMs - clock.nowMs())
        .whenComplete(
            (connection, failure) -> {
              if (failure != null) {
                answer.completeExceptionally(failure);
              } else if (answer.isDone()) {
                pool.release(connection);
              } else if (connection.bootId().isPresent()) {
                sendIfBootIdMatches(connection, exchange, bootId, deadlineMs, answer);
              } else {
                fetchBootId(connection, deadlineMs - clock.nowMs())
                    .whenComplete(
                        (id, probeFailure) ->
                            sendAfterProbe(
                                connection, exchange, bootId, deadlineMs, probeFailure, answer));
              }
            });
  }

  private void sendIfBootIdMatches(
      PooledConnection connection,
      HttpExchange exchange,
      long bootId,
      long deadlineMs,
      CompletableFuture<HttpAnswer> answer) {
    if (connection.bootId().getAsLong() == bootId) {
      sendBeforeDeadline(connection, exchange, deadlineMs, answer);
    } else {
      pool.discard(connection, false);
      acquire(exchange, bootId, deadlineMs, answer);
    }
  }

  private void sendAfterProbe(
      PooledConnection connection,
      HttpExchange exchange,
      long bootId,
      long deadlineMs,
      @Nullable Throwable probeFailure,
      CompletableFuture<HttpAnswer> answer) {
    if (probeFailure != null) {
      answer.completeExceptionally(probeFailure);
    } else if (answer.isDone()) {
      pool.release(connection);
    } else if (connection.bootId().getAsLong() == bootId) {
      sendBeforeDeadline(connection, exchange, deadlineMs, answer);
    } else {
      pool.release(connection);
      answer.completeExceptionally(unreachable("the upstream has started again", null));
    }
  }

  private CompletableFuture<Long> fetchBootId(PooledConnection connection, long timeoutMs) {
    if (connection.bootId().isPresent()) {
      return CompletableFuture.completedFuture(connection.bootId().getAsLong());
    }
    return exchange(connection, BootIds.probe(), timeoutMs)
        .handle(
            (received, failure) -> {
              OptionalLong id = received == null ? OptionalLong.empty() : BootIds.of(received);
              if (id.isEmpty()) {
                pool.discard(connection, false);
                throw unreachable("the upstream gave no boot id", failure);
              }
              recordBootId(connection, id.getAsLong());
              return id.getAsLong();
            });
  }

  private void recordBootId(PooledConnection connection, HttpAnswer received) {
    OptionalLong id = BootIds.of(received);
    boolean changed = id.isPresent() && !id.equals(connection.bootId());
    if (changed) {
      recordBootId(connection, id.getAsLong());
    }
  }

  private void recordBootId(PooledConnection connection, long bootId) {
    connection.setBootId(bootId);
    listener.onBootId(endpoint, bootId);
  }

  private void sendBeforeDeadline(
      PooledConnection connection,
      HttpExchange exchange,
      long deadlineMs,
      CompletableFuture<HttpAnswer> answer) {
    long remainingMs = deadlineMs - clock.nowMs();
    if (remainingMs > 0) {
      sendOn(connection, withTimeout(exchange, remainingMs), remainingMs, answer);
    } else {
      pool.release(connection);
      answer.completeExceptionally(unreachable("no connection was ready in time", null));
    }
  }

  private void sendOn(
      PooledConnection connection,
      HttpExchange exchange,
      long timeoutMs,
      CompletableFuture<HttpAnswer> answer) {
    CompletableFuture<HttpAnswer> exchangeResult = exchange(connection, exchange, timeoutMs);
    exchangeResult.whenComplete(
        (received, failure) -> {
          if (failure == null) {
            pool.release(connection);
            answer.complete(received);
            recordBootId(connection, received);
          } else {
            boolean timedOut = ResultCodeException.codeOf(failure) == ResultCode.ANSWER_TIMEOUT;
            pool.discard(connection, timedOut);
            answer.completeExceptionally(failure);
          }
        });
    answer.whenComplete(
        (received, failure) ->
            handlerOf(connection).cancelIfPending(connection.channel(), exchangeResult));
  }

  private static HttpClientHandler handlerOf(PooledConnection connection) {
    return connection.channel().pipeline().get(HttpClientHandler.class);
  }

  private static HttpExchange withTimeout(HttpExchange exchange, long remainingMs) {
    var headers = exchange.headers().copy().set(FoxtailHeaders.TIMEOUT_MS, remainingMs);
    return new HttpExchange(exchange.method(), exchange.uri(), headers, exchange.body());
  }

  private CompletableFuture<HttpAnswer> exchange(
      PooledConnection connection, HttpExchange exchange, long timeoutMs) {
    String host = endpoint.getHost() + ":" + endpoint.getPort();
    return handlerOf(connection)
        .exchange(connection.channel(), HttpMessages.toRequest(exchange, host), timeoutMs);
  }

  private static ResultCodeException unreachable(String message, @Nullable Throwable cause) {
    return cause == null
        ? new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, message)
        : new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, message, cause);
  }

  void close() {
    pool.close();
  }
}
