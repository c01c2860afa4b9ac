package org.foxtailford.net.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.time.ArrivalClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the bytes that a caller gets for HEAD and for answers without a body. */
public class HeadAnswerTests {

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @AfterClass
  public void end() {
    loops.shutdownGracefully();
  }

  @DataProvider
  public Object[][] answers() {
    return new Object[][] {
      {HttpVersion.HTTP_1_1, HttpMethod.HEAD, 200, Optional.empty()},
      {HttpVersion.HTTP_1_1, HttpMethod.HEAD, 200, Optional.of(17L)},
      {HttpVersion.HTTP_1_1, HttpMethod.HEAD, 404, Optional.empty()},
      {HttpVersion.HTTP_1_1, HttpMethod.GET, 204, Optional.empty()},
      {HttpVersion.HTTP_1_1, HttpMethod.GET, 304, Optional.empty()},
      {HttpVersion.HTTP_1_0, HttpMethod.HEAD, 200, Optional.empty()},
    };
  }

  /** Guards against bytes behind the head, which count as the answer to the next request. */
  @Test(dataProvider = "answers")
  public void nothingFollowsTheHead(
      HttpVersion version, HttpMethod method, int status, Optional<Long> length) {
    CallerHandler handler =
        new CallerHandler() {
          @Override
          public void onRequest(CallerExchange exchange) {
            exchange.begin(status, new DefaultHttpHeaders(), length);
            exchange.write(Unpooled.copiedBuffer("no body", StandardCharsets.UTF_8));
            exchange.end();
          }

          @Override
          public void onUnreadable(CallerExchange exchange, int status, String reason) {
            throw new AssertionError(reason);
          }
        };
    CallerServer server =
        new CallerServer(
            loops,
            handler,
            () -> CallerLimits.DEFAULT,
            () -> 0,
            new ArrivalClock(() -> 0),
            new CallerBuffers());
    ReadAhead readAhead = new ReadAhead(server, () -> 0);
    EmbeddedChannel channel =
        new EmbeddedChannel(
            readAhead,
            new HttpResponseEncoder(),
            new CallerConnection(server, readAhead, handler, () -> CallerLimits.DEFAULT, () -> 0));
    channel.writeInbound(new DefaultFullHttpRequest(version, method, "/a"));
    channel.runPendingTasks();
    assertThat(written(channel)).endsWith("\r\n\r\n").containsOnlyOnce("\r\n\r\n");
    channel.close();
  }

  private static String written(EmbeddedChannel channel) {
    StringBuilder text = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      text.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }
    return text.toString();
  }
}
