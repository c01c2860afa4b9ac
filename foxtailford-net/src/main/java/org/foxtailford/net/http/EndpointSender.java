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
 * Sends requests to one address, if wanted only to one start of the process there.
 *
 * <p>A TCP connection leads to one process for as long as it lasts, so its boot id is read once: by
 * a probe before its first request that needs it, or from any answer. A connection that led to
 * another boot id than the wanted one is closed. Thread-safe.
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

  /** Sends a request; its timeout counts from when there is a connection. */
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
                start(connection, exchange, timeoutMs, answer);
              }
            });
    return answer;
  }

  /** Sends a request to one start of the upstream; its timeout counts from now. */
  CompletableFuture<HttpAnswer> send(HttpExchange exchange, long bootId, long timeoutMs) {
    CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
    acquire(exchange, bootId, clock.nowMs() + timeoutMs, answer);
    return answer;
  }

  /** Reads the boot id of the present process, and gives the connection back. */
  CompletableFuture<Long> readBootId(long timeoutMs) {
    return pool.acquire(timeoutMs)
        .thenCompose(
            connection ->
                identify(connection, timeoutMs)
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
                useKnown(connection, exchange, bootId, deadlineMs, answer);
              } else {
                identify(connection, deadlineMs - clock.nowMs())
                    .whenComplete(
                        (id, lost) ->
                            useNew(connection, exchange, bootId, deadlineMs, lost, answer));
              }
            });
  }

  private void useKnown(
      PooledConnection connection,
      HttpExchange exchange,
      long bootId,
      long deadlineMs,
      CompletableFuture<HttpAnswer> answer) {
    if (connection.bootId().getAsLong() == bootId) {
      startInTime(connection, exchange, deadlineMs, answer);
    } else {
      pool.discard(connection, false);
      acquire(exchange, bootId, deadlineMs, answer);
    }
  }

  private void useNew(
      PooledConnection connection,
      HttpExchange exchange,
      long bootId,
      long deadlineMs,
      @Nullable Throwable lost,
      CompletableFuture<HttpAnswer> answer) {
    if (lost != null) {
      answer.completeExceptionally(lost);
    } else if (answer.isDone()) {
      pool.release(connection);
    } else if (connection.bootId().getAsLong() == bootId) {
      startInTime(connection, exchange, deadlineMs, answer);
    } else {
      pool.release(connection);
      answer.completeExceptionally(notRun("the upstream has started again", null));
    }
  }

  private CompletableFuture<Long> identify(PooledConnection connection, long timeoutMs) {
    if (connection.bootId().isPresent()) {
      return CompletableFuture.completedFuture(connection.bootId().getAsLong());
    }
    return exchange(connection, BootIds.probe(), timeoutMs)
        .handle(
            (received, failure) -> {
              OptionalLong id = received == null ? OptionalLong.empty() : BootIds.of(received);
              if (id.isEmpty()) {
                pool.discard(connection, false);
                throw notRun("the upstream gave no boot id", failure);
              }
              note(connection, id.getAsLong());
              return id.getAsLong();
            });
  }

  private void note(PooledConnection connection, HttpAnswer received) {
    OptionalLong id = BootIds.of(received);
    boolean changed = id.isPresent() && !id.equals(connection.bootId());
    if (changed) {
      note(connection, id.getAsLong());
    }
  }

  private void note(PooledConnection connection, long bootId) {
    connection.setBootId(bootId);
    listener.onBootId(endpoint, bootId);
  }

  private void startInTime(
      PooledConnection connection,
      HttpExchange exchange,
      long deadlineMs,
      CompletableFuture<HttpAnswer> answer) {
    long remainingMs = deadlineMs - clock.nowMs();
    if (remainingMs > 0) {
      start(connection, withTimeout(exchange, remainingMs), remainingMs, answer);
    } else {
      pool.release(connection);
      answer.completeExceptionally(notRun("no connection was ready in time", null));
    }
  }

  private void start(
      PooledConnection connection,
      HttpExchange exchange,
      long timeoutMs,
      CompletableFuture<HttpAnswer> answer) {
    CompletableFuture<HttpAnswer> exchanged = exchange(connection, exchange, timeoutMs);
    exchanged.whenComplete(
        (received, failure) -> {
          if (failure == null) {
            pool.release(connection);
            answer.complete(received);
            note(connection, received);
          } else {
            boolean timedOut = ResultCodeException.codeOf(failure) == ResultCode.ANSWER_TIMEOUT;
            pool.discard(connection, timedOut);
            answer.completeExceptionally(failure);
          }
        });
    answer.whenComplete(
        (received, failure) -> handlerOf(connection).abandon(connection.channel(), exchanged));
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

  private static ResultCodeException notRun(String message, @Nullable Throwable cause) {
    return cause == null
        ? new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, message)
        : new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, message, cause);
  }

  void close() {
    pool.close();
  }
}
