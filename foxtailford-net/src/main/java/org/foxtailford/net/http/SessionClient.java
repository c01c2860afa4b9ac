package org.foxtailford.net.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.Endpoint;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests over one numbered connection to each address.
 *
 * <p>A TCP connection leads to one process for as long as it lasts. So a request that names the
 * number of an earlier connection reaches the same process as the requests before it, or is not
 * sent. Requests to one address follow each other. Thread-safe.
 */
public final class SessionClient {

  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final int MOST_WAITING = 256;

  private final Bootstrap bootstrap;
  private final int maxAnswerBytes;
  private final MillisClock clock = new SystemMillisClock();
  private final Map<EndpointKey, Session> sessions = new HashMap<>();
  private long connections;

  /**
   * An answer and the connection that it came over.
   *
   * @param session number of the connection
   * @param answer the answer
   */
  public record SessionAnswer(long session, HttpAnswer answer) {}

  private record Waiting(
      HttpExchange exchange,
      OptionalLong session,
      long untilMs,
      CompletableFuture<SessionAnswer> answer) {}

  private static final class Session {
    private final Endpoint endpoint;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private @Nullable Channel channel;
    private long number;
    private boolean busy;

    Session(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    boolean isConnected() {
      return channel != null && channel.isActive();
    }
  }

  /**
   * Creates a client without connections.
   *
   * @param maxAnswerBytes largest body of an answer, in bytes
   */
  public SessionClient(EventLoopGroup loops, int maxAnswerBytes) {
    this.maxAnswerBytes = maxAnswerBytes;
    this.bootstrap =
        new Bootstrap()
            .group(Assert.notNull(loops, "loops"))
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    PooledHttpClient.addHandlers(channel, maxAnswerBytes);
                  }
                });
  }

  /**
   * Sends a request.
   *
   * @param session number of the connection that it must go over; empty for the present one, or a
   *     new one if there is none
   * @param timeoutMs longest time until the whole answer, in milliseconds
   * @return fails with {@link ResultCode#UPSTREAM_UNREACHABLE} if no byte of the request left
   */
  public CompletableFuture<SessionAnswer> send(
      Endpoint endpoint, HttpExchange exchange, OptionalLong session, long timeoutMs) {
    CompletableFuture<SessionAnswer> answer = new CompletableFuture<>();
    Waiting waiting = new Waiting(exchange, session, clock.nowMs() + timeoutMs, answer);
    Session found;
    synchronized (this) {
      found = sessions.computeIfAbsent(EndpointKey.of(endpoint), key -> new Session(endpoint));
      if (found.waiting.size() >= MOST_WAITING) {
        return CompletableFuture.failedFuture(notSent("too many requests wait"));
      }
      found.waiting.add(waiting);
    }
    next(found);
    return answer;
  }

  private void next(Session session) {
    Waiting waiting;
    boolean connected;
    synchronized (this) {
      if (session.busy) {
        return;
      }
      waiting = session.waiting.poll();
      if (waiting == null) {
        return;
      }
      session.busy = true;
      connected = session.isConnected();
    }
    long leftMs = waiting.untilMs() - clock.nowMs();
    boolean otherConnection =
        waiting.session().isPresent()
            && (!connected || waiting.session().getAsLong() != session.number);
    if (otherConnection || leftMs <= 0) {
      done(session);
      waiting.answer().completeExceptionally(notSent("its connection has ended"));
    } else if (connected) {
      exchange(session, waiting, leftMs);
    } else {
      bootstrap
          .connect(session.endpoint.getHost(), session.endpoint.getPort())
          .addListener((ChannelFuture made) -> onConnected(session, waiting, made));
    }
  }

  private void onConnected(Session session, Waiting waiting, ChannelFuture made) {
    long leftMs = waiting.untilMs() - clock.nowMs();
    if (!made.isSuccess() || leftMs <= 0) {
      made.channel().close();
      done(session);
      waiting.answer().completeExceptionally(notSent("no connection: " + made.cause()));
      return;
    }
    synchronized (this) {
      session.channel = made.channel();
      session.number = ++connections;
    }
    exchange(session, waiting, leftMs);
  }

  private void exchange(Session session, Waiting waiting, long leftMs) {
    Channel channel = Assert.notNull(session.channel, "channel");
    HttpClientHandler handler = channel.pipeline().get(HttpClientHandler.class);
    if (handler == null) {
      done(session);
      waiting.answer().completeExceptionally(notSent("the connection has ended"));
      return;
    }
    String host = session.endpoint.getHost() + ":" + session.endpoint.getPort();
    handler
        .exchange(channel, HttpMessages.toRequest(waiting.exchange(), host), leftMs)
        .whenComplete(
            (answer, failure) -> {
              done(session);
              if (failure == null) {
                waiting.answer().complete(new SessionAnswer(session.number, answer));
              } else {
                waiting.answer().completeExceptionally(failure);
              }
            });
  }

  private void done(Session session) {
    synchronized (this) {
      session.busy = false;
      if (session.waiting.isEmpty() && !session.isConnected()) {
        sessions.remove(EndpointKey.of(session.endpoint), session);
      }
    }
    next(session);
  }

  private static ResultCodeException notSent(String reason) {
    return new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, reason);
  }
}
