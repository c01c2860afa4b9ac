package org.foxtailford.net.proxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.net.exchange.ExchangeDialect;
import org.foxtailford.net.http.AnswerDecoder;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of when an answer and a request are complete. */
public class UpstreamConnectionTests {

  private static final String UNFRAMED = "HTTP/1.1 200 OK\r\n\r\npart of the answer";

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ExchangeDialect dialect =
      (ExchangeDialect)
          Proxy.newProxyInstance(
              getClass().getClassLoader(),
              new Class<?>[] {ExchangeDialect.class},
              (proxy, method, arguments) -> absent(method));
  private EmbeddedChannel channel;
  private UpstreamConnection connection;
  private Outcome outcome;
  private boolean writesWait;

  private static Object absent(Method method) {
    return method.getReturnType() == OptionalLong.class ? OptionalLong.empty() : Optional.empty();
  }

  /** Keeps writes from being sent, as an upstream does that reads nothing. */
  private final class Writes extends ChannelOutboundHandlerAdapter {

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (!writesWait) {
        ctx.write(message, promise);
      }
    }
  }

  @BeforeMethod
  public void connect() {
    writesWait = false;
    outcome = new Outcome();
    UpstreamPool pool =
        new UpstreamPool(loops, new UpstreamAddress("127.0.0.1", 1), dialect, () -> 0);
    AnswerDecoder decoder = new AnswerDecoder(List.of());
    connection = new UpstreamConnection(pool, decoder, dialect, () -> 0);
    channel = new EmbeddedChannel(new Writes(), decoder, connection);
  }

  @AfterClass
  public void end() {
    loops.shutdownGracefully();
  }

  private void send(HttpMethod method, String answer) {
    ByteBuf body = Unpooled.copiedBuffer("body", StandardCharsets.UTF_8);
    send(method, new BodyPart(body, 0, true), OptionalLong.of(body.readableBytes()));
    channel.runPendingTasks();
    channel.writeInbound(Unpooled.copiedBuffer(answer, StandardCharsets.UTF_8));
  }

  private void send(HttpMethod method, BodyPart body, OptionalLong length) {
    UpstreamRequest request =
        new UpstreamRequest(
            method,
            "/a",
            new DefaultHttpHeaders(),
            body,
            length,
            "",
            new UsedConnections(),
            0,
            SendGate.OPEN);
    connection.send(request, new AnnouncedBody(length), outcome);
  }

  /** Closes the channel as the transport does at the end of its input. */
  private void endInput() {
    channel.unsafe().close(channel.voidPromise());
    channel.runPendingTasks();
  }

  @Test
  public void answerWithoutLengthIsCompleteWhenTheUpstreamEndsIt() {
    send(HttpMethod.POST, UNFRAMED);
    assertThat(outcome.text).isEmpty();
    endInput();
    assertThat(outcome.text).isEqualTo("complete");
  }

  /** Guards against an answer that the VM itself cuts off, as at its end, and that looks whole. */
  @Test
  public void answerWithoutLengthIsBrokenOffByAnOwnClose() {
    send(HttpMethod.POST, UNFRAMED);
    channel.close();
    assertThat(outcome.text).isEqualTo("BROKEN_OFF");
  }

  /** Guards against an answer whose connection is reset while a write is due, and looks whole. */
  @Test
  public void answerWithoutLengthIsBrokenOffIfTheRequestWasNotSent() {
    writesWait = true;
    send(HttpMethod.POST, UNFRAMED);
    endInput();
    assertThat(outcome.text).isEqualTo("BROKEN_OFF");
  }

  @Test
  public void answerWithoutLengthIsBrokenOffByAReset() {
    send(HttpMethod.POST, UNFRAMED);
    channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
    endInput();
    assertThat(outcome.text).isEqualTo("BROKEN_OFF");
  }

  /** Guards against a request that an upstream takes for whole though a part was dropped. */
  @Test
  public void bodyWithAMissingPartResetsTheConnection() {
    ByteBuf bytes = Unpooled.copiedBuffer("part", StandardCharsets.UTF_8);
    send(HttpMethod.POST, new BodyPart(bytes, 0, false), OptionalLong.empty());
    ByteBuf end = Unpooled.copiedBuffer("end", StandardCharsets.UTF_8);
    connection.sendBody(new BodyPart(end, 8, true));
    assertThat(outcome.text).isEqualTo("BODY_INCOMPLETE");
    assertThat(channel.isOpen()).isFalse();
    assertThat(end.refCnt()).isZero();
    assertThat(channel.outboundMessages()).noneMatch(LastHttpContent.class::isInstance);
  }

  /** Guards against a body shorter than its stated length that is announced as a whole one. */
  @Test
  public void bodyThatEndsBeforeItsStatedLengthIsNotSent() {
    ByteBuf bytes = Unpooled.copiedBuffer("part", StandardCharsets.UTF_8);
    send(HttpMethod.POST, new BodyPart(bytes, 0, true), OptionalLong.of(10));
    assertThat(outcome.text).isEqualTo("BODY_INCOMPLETE");
    assertThat(channel.outboundMessages()).noneMatch(LastHttpContent.class::isInstance);
  }

  @Test
  public void answersThatStateTheirEndNeedNone() {
    send(HttpMethod.POST, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assertThat(outcome.text).isEqualTo("complete");
    connect();
    send(HttpMethod.HEAD, "HTTP/1.1 200 OK\r\n\r\n");
    assertThat(outcome.text).isEqualTo("complete");
    connect();
    send(HttpMethod.POST, "HTTP/1.1 204 No Content\r\n\r\n");
    assertThat(outcome.text).isEqualTo("complete");
  }

  /**
   * Guards against a kept connection on which a broken answer in pieces is taken for a sound one.
   */
  @Test
  public void brokenAnswerInPiecesEndsAKeptConnection() {
    send(HttpMethod.POST, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    assertThat(outcome.text).isEqualTo("complete");
    send(HttpMethod.POST, "");
    String broken = "HTTP/1.1 200 OK\r\nX a: b\r\nContent-Length: 2\r\n\r\nok";
    for (int i = 0; channel.isOpen() && i < broken.length(); i++) {
      channel.writeInbound(Unpooled.copiedBuffer(broken.substring(i, i + 1), UTF_8));
    }
    assertThat(outcome.text).isEqualTo("completeGARBLED");
    assertThat(outcome.heads).isEqualTo(1);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against an answer whose end nobody sees, as it is skipped like an interim one. */
  @Test
  public void changeOfTheProtocolIsNoAnswer() {
    send(HttpMethod.POST, "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n");
    assertThat(outcome.text).isEqualTo("GARBLED");
  }

  /** Keeps how the answer ended. */
  private static final class Outcome implements UpstreamListener {

    private String text = "";
    private int heads;

    @Override
    public void onSent() {}

    @Override
    public void onHead(HttpResponse head) {
      heads++;
    }

    @Override
    public void onContent(ByteBuf part) {
      part.release();
    }

    @Override
    public void onEnd() {
      text += "complete";
    }

    @Override
    public void onFailure(UpstreamFailure failure, String reason) {
      text += failure;
    }

    @Override
    public void onWritable() {}
  }
}
