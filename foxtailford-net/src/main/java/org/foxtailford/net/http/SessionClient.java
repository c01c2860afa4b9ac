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
import java.util.Optional;
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
 * Sends requests over a single numbered connection to each address.
 *
 * <p>A TCP connection leads to the same process for its whole lifetime. So a request that states
 * the number of an earlier connection reaches the same process as the requests before it, or is not
 * sent. Requests to one address are sent one at a time, in order. Thread-safe.
 */
public final class SessionClient {

  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final int MAX_WAITING = 256;

  private final Bootstrap bootstrap;
  private final int maxAnswerBytes;
  private final MillisClock clock = new SystemMillisClock();
  private final Map<EndpointKey, Session> sessions = new HashMap<>();
  private long lastNumber;

  /**
   * An answer and the connection on which it was received.
   *
   * @param session number of the connection, unique within the client
   * @param answer received answer
   */
  public record SessionAnswer(long session, HttpAnswer answer) {}

  private record QueuedRequest(
      HttpExchange exchange,
      OptionalLong session,
      long deadlineMs,
      CompletableFuture<SessionAnswer> answer) {}

  private static final class Session {
    private final Endpoint endpoint;
    private final Deque<QueuedRequest> queued = new ArrayDeque<>();
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
   * Creates a client; connections are opened on demand.
   *
   * @param maxAnswerBytes maximum size of an answer's body, in bytes
   * @param echoedId field that each request has, and that tells answers apart
   */
  public SessionClient(EventLoopGroup loops, int maxAnswerBytes, EchoedId echoedId) {
    Assert.notNull(echoedId, "echoedId");
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
                    PooledHttpClient.addHandlers(channel, maxAnswerBytes, Optional.of(echoedId));
                  }
                });
  }

  /**
   * Sends a request after those already queued for the address.
   *
   * @param session number of the connection that must be used; empty for the current one, or a new
   *     one if there is none
   * @param timeoutMs maximum time until the answer is complete, in milliseconds
   * @return the answer; fails with {@link ResultCode#UPSTREAM_UNREACHABLE} if no byte of the
   *     request was sent
   */
  public CompletableFuture<SessionAnswer> send(
      Endpoint endpoint, HttpExchange exchange, OptionalLong session, long timeoutMs) {
    CompletableFuture<SessionAnswer> answer = new CompletableFuture<>();
    QueuedRequest queued = new QueuedRequest(exchange, session, clock.nowMs() + timeoutMs, answer);
    Session target;
    synchronized (this) {
      target = sessions.computeIfAbsent(EndpointKey.of(endpoint), key -> new Session(endpoint));
      if (target.queued.size() >= MAX_WAITING) {
        return CompletableFuture.failedFuture(notSent("too many requests queued for the address"));
      }
      target.queued.add(queued);
    }
    sendNext(target);
    return answer;
  }

  private void sendNext(Session session) {
    QueuedRequest queued;
    boolean connected;
    synchronized (this) {
      if (session.busy) {
        return;
      }
      queued = session.queued.poll();
      if (queued == null) {
        return;
      }
      session.busy = true;
      connected = session.isConnected();
    }
    boolean sessionEnded =
        queued.session().isPresent()
            && (!connected || queued.session().getAsLong() != session.number);
    if (sessionEnded || remainingMs(queued) <= 0) {
      finish(session);
      queued
          .answer()
          .completeExceptionally(notSent("its connection is closed or its time is over"));
    } else if (connected) {
      Channel channel = Assert.notNull(session.channel, "channel");
      if (channel.eventLoop().inEventLoop()) {
        exchange(session, queued, channel);
      } else {
        channel.eventLoop().execute(() -> exchange(session, queued, channel));
      }
    } else {
      bootstrap
          .connect(session.endpoint.getHost(), session.endpoint.getPort())
          .addListener(
              (ChannelFuture connectFuture) -> onConnected(session, queued, connectFuture));
    }
  }

  private void onConnected(Session session, QueuedRequest queued, ChannelFuture connectFuture) {
    if (!connectFuture.isSuccess() || remainingMs(queued) <= 0) {
      connectFuture.channel().close();
      finish(session);
      queued.answer().completeExceptionally(notSent("no connection: " + connectFuture.cause()));
      return;
    }
    synchronized (this) {
      session.channel = connectFuture.channel();
      session.number = ++lastNumber;
    }
    exchange(session, queued, connectFuture.channel());
  }

  private long remainingMs(QueuedRequest queued) {
    return queued.deadlineMs() - clock.nowMs();
  }

  /** Sends a request on the event loop of its connection, unless its time is over by then. */
  private void exchange(Session session, QueuedRequest queued, Channel channel) {
    long remainingMs = remainingMs(queued);
    if (remainingMs <= 0) {
      finish(session);
      queued.answer().completeExceptionally(notSent("its time is over"));
      return;
    }
    HttpClientHandler handler = channel.pipeline().get(HttpClientHandler.class);
    if (handler == null) {
      finish(session);
      queued.answer().completeExceptionally(notSent("connection closed before sending"));
      return;
    }
    long number = session.number;
    String host = session.endpoint.getHost() + ":" + session.endpoint.getPort();
    handler
        .exchange(channel, HttpMessages.toRequest(queued.exchange(), host), remainingMs)
        .whenComplete(
            (answer, failure) -> {
              finish(session);
              if (failure == null) {
                queued.answer().complete(new SessionAnswer(number, answer));
              } else {
                queued.answer().completeExceptionally(failure);
              }
            });
  }

  private void finish(Session session) {
    synchronized (this) {
      session.busy = false;
      if (session.queued.isEmpty() && !session.isConnected()) {
        sessions.remove(EndpointKey.of(session.endpoint), session);
      }
    }
    sendNext(session);
  }

  private static ResultCodeException notSent(String reason) {
    return new ResultCodeException(ResultCode.UPSTREAM_UNREACHABLE, reason);
  }
}
