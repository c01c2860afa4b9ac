package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.Endpoint;
import org.testng.annotations.Test;

public class HttpServerCloseTests {

  private static final int TIMEOUT_MS = 10_000;
  private static final int BODY_BYTES = 30_000;
  private static final int RECEIVE_BUFFER_BYTES = 4096;

  // A test run hung for ever: it closed a server again whose event loops had ended.
  @Test(timeOut = TIMEOUT_MS)
  public void serverWhoseEventLoopHasEndedClosesAtOnce() {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    HttpServer server =
        new HttpServer(
            loops,
            new HttpLimits(4096, 1000),
            new HttpExchangeHandler() {
              @Override
              public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
                return CompletableFuture.completedFuture(HttpAnswer.json(200, "{}"));
              }

              @Override
              public HttpAnswer refuse(ResultCode code, String message) {
                return HttpAnswer.json(400, "{}");
              }
            });
    server.bind(Endpoint.newBuilder().setHost("127.0.0.1").build());
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    server.close();
    assertThat(server.connections()).isZero();
  }

  /** Guards against a request behind the last answer that makes TCP drop the rest of that. */
  @Test(timeOut = TIMEOUT_MS)
  public void lastAnswerIsWholeThoughTheCallerSendsOn() throws Exception {
    EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (HttpServer server = new HttpServer(loops, new HttpLimits(4096, 1000), new LongAnswers());
        Socket caller = new Socket()) {
      int port = server.bind(Endpoint.newBuilder().setHost("127.0.0.1").build());
      caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      caller.connect(new InetSocketAddress("127.0.0.1", port));
      write(caller, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      assertThat(caller.getInputStream().read()).isEqualTo('H');
      loops.submit(() -> {}).get(); // the answer is in the kernel, and the connection ended
      write(caller, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
      byte[] rest = caller.getInputStream().readAllBytes();
      assertThat(rest).hasSizeGreaterThan(BODY_BYTES);
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Answers each request with a body that the server's kernel takes at once, but not the caller's.
   */
  private static final class LongAnswers implements HttpExchangeHandler {

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      return CompletableFuture.completedFuture(
          new HttpAnswer(200, new DefaultHttpHeaders(), new byte[BODY_BYTES]));
    }

    @Override
    public HttpAnswer refuse(ResultCode code, String message) {
      return HttpAnswer.json(400, "{}");
    }
  }
}
