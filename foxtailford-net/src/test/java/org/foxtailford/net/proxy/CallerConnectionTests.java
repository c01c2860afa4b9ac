package org.foxtailford.net.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.overload.ByteBudget;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.time.ArrivalClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

public class CallerConnectionTests {

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<CallerExchange> exchanges = new ArrayList<>();
  private final List<String> rejections = new ArrayList<>();
  private final CallerBuffers buffers = new CallerBuffers();
  private DeferredWrites writes = new DeferredWrites();
  private long nowMs;
  private final CallerHandler handler =
      new CallerHandler() {
        @Override
        public void onRequest(CallerExchange exchange) {
          exchanges.add(exchange);
        }

        @Override
        public void onUnreadable(CallerExchange exchange, int status, String reason) {
          rejections.add(status + " " + reason);
          exchange.answer(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }
      };
  private final CallerServer server =
      new CallerServer(
          loops,
          handler,
          () -> CallerLimits.DEFAULT,
          () -> nowMs,
          new ArrivalClock(() -> nowMs),
          buffers);

  /** Defers all writes, as for a caller that reads slowly. */
  private static final class DeferredWrites extends ChannelOutboundHandlerAdapter {

    private final List<Runnable> deferred = new ArrayList<>();

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      deferred.add(() -> ctx.writeAndFlush(message, promise));
    }

    void writeDeferred() {
      deferred.forEach(Runnable::run);
      deferred.clear();
    }
  }

  private EmbeddedChannel connect() {
    exchanges.clear();
    rejections.clear();
    nowMs = 0;
    writes = new DeferredWrites();
    ReadAhead readAhead = new ReadAhead(server, () -> nowMs);
    CallerConnection connection =
        new CallerConnection(server, readAhead, handler, () -> CallerLimits.DEFAULT, () -> nowMs);
    return new EmbeddedChannel(readAhead, writes, connection);
  }

  private static DefaultFullHttpRequest request(HttpMethod method, String path) {
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path);
  }

  private static void answer(CallerExchange exchange, String body) {
    exchange.answer(200, new DefaultHttpHeaders(), Unpooled.wrappedBuffer(body.getBytes()));
  }

  @AfterClass
  public void end() {
    loops.shutdownGracefully();
  }

  @Test
  public void idleConnectionClosesOnlyAfterItsLastAnswerIsWritten() {
    EmbeddedChannel channel = connect();
    channel.writeInbound(request(HttpMethod.GET, "/a"));
    answer(exchanges.get(0), "whole");
    nowMs += 1000;
    server.closeIdle();
    channel.runPendingTasks();
    assertThat(channel.isOpen()).isTrue();
    writes.writeDeferred();
    channel.runPendingTasks();
    assertThat(channel.isOpen()).isFalse();
    assertThat(channel.outboundMessages()).hasSizeGreaterThanOrEqualTo(3);
  }

  /** Guards against a close that crosses the request that a caller sends on its next turn. */
  @Test
  public void connectionThatWasJustInUseIsNotClosedAsIdle() {
    EmbeddedChannel channel = connect();
    channel.writeInbound(request(HttpMethod.GET, "/a"));
    nowMs += 5000;
    answer(exchanges.get(0), "whole");
    writes.writeDeferred();
    nowMs += 999;
    server.closeIdle();
    channel.runPendingTasks();
    assertThat(channel.isOpen()).isTrue();
    nowMs += 1;
    server.closeIdle();
    writes.writeDeferred();
    channel.runPendingTasks();
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  public void postRequestStartsOnlyAfterEarlierRequestsAreAnswered() {
    EmbeddedChannel channel = connect();
    channel.writeInbound(request(HttpMethod.GET, "/first"), request(HttpMethod.POST, "/second"));
    assertThat(exchanges).hasSize(1);
    answer(exchanges.get(0), "first");
    assertThat(exchanges).hasSize(2);
    assertThat(exchanges.get(1).uri()).isEqualTo("/second");
    channel.close();
  }

  /** Guards against an answer that is cut off as idle while its caller still takes it. */
  @Test
  public void connectionWithUnsentAnswerIsNotIdleUntilItsCallerTakesNothingForLong() {
    EmbeddedChannel channel = connect();
    channel.writeInbound(request(HttpMethod.GET, "/a"));
    answer(exchanges.get(0), "whole");
    CallerConnection connection = channel.pipeline().get(CallerConnection.class);
    long idleMs = CallerLimits.DEFAULT.idleTimeoutMs();
    connection.closeIfTimedOut(idleMs + 1);
    assertThat(channel.isOpen()).isTrue();
    connection.closeIfTimedOut(4 * idleMs + 1);
    assertThat(channel.isOpen()).isFalse();
    assertThat(buffers.answers().heldBytes()).isZero();
  }

  /** Guards against idle time that counts from the end of the answer and not of its sending. */
  @Test
  public void idleTimeCountsFromTheLastBytesTaken() {
    EmbeddedChannel channel = connect();
    channel.writeInbound(request(HttpMethod.GET, "/a"));
    answer(exchanges.get(0), "whole");
    nowMs = 20_000;
    writes.writeDeferred();
    channel.runPendingTasks();
    CallerConnection connection = channel.pipeline().get(CallerConnection.class);
    connection.closeIfTimedOut(nowMs + CallerLimits.DEFAULT.idleTimeoutMs() - 1);
    assertThat(channel.isOpen()).isTrue();
    connection.closeIfTimedOut(nowMs + CallerLimits.DEFAULT.idleTimeoutMs() + 1);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against a body that is read, or a handler that is called, without room for it. */
  @Test
  public void bodyWithoutRoomIsRefusedBeforeItIsReadAndItsRoomReturns() {
    ByteBudget.Share others = buffers.bodies().open(() -> {}, () -> {});
    assertThat(others.tryReserve((24 << 20) - 1000)).isTrue();
    EmbeddedChannel channel = connect();
    DefaultHttpRequest head =
        new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/large");
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, 1001);
    channel.writeInbound(head);
    assertThat(exchanges).isEmpty();
    assertThat(rejections).containsExactly("503 request bodies are over the budget");
    others.close();
    channel.close();
    assertThat(buffers.bodies().heldBytes()).isZero();
  }
}
