package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.Endpoint;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

public class HttpRoundTripTests {

  private static final int MAX_BODY_BYTES = 1000;
  private static final int TIMEOUT_MS = 5000;

  private EventLoopGroup loops;
  private HttpServer server;
  private PooledHttpClient client;
  private Endpoint endpoint;

  @BeforeClass
  public void start() {
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    server = new HttpServer(loops, new HttpLimits(4096, MAX_BODY_BYTES), new EchoHandler());
    Endpoint anyPort = Endpoint.newBuilder().setHost("127.0.0.1").build();
    endpoint = anyPort.toBuilder().setPort(server.bind(anyPort)).build();
    client = new PooledHttpClient(loops, 2, 100_000);
  }

  @AfterClass
  public void stop() {
    client.close();
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  public void answersCarryTheBodyOfTheirOwnRequest() {
    for (int i = 0; i < 20; i++) {
      HttpAnswer answer = send("body " + i).join();
      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.bodyText()).isEqualTo("body " + i);
    }
  }

  @Test
  public void bodyOverTheLimitIsRefusedWithBodyTooLarge() {
    HttpAnswer answer = send("x".repeat(MAX_BODY_BYTES + 1)).join();
    assertThat(answer.status()).isEqualTo(ResultCode.BODY_TOO_LARGE.httpStatus());
    assertThat(answer.bodyText()).startsWith(ResultCode.BODY_TOO_LARGE.name());
  }

  @Test
  public void requestFailsAsUnreachableIfNoConnectionCanBeOpened() {
    Endpoint closed = Endpoint.newBuilder().setHost("127.0.0.1").setPort(1).build();
    CompletableFuture<HttpAnswer> answer = client.send(closed, exchange(""), TIMEOUT_MS);
    assertThatThrownBy(answer::join)
        .satisfies(
            failure ->
                assertThat(ResultCodeException.codeOf(failure))
                    .isEqualTo(ResultCode.UPSTREAM_UNREACHABLE));
  }

  private CompletableFuture<HttpAnswer> send(String body) {
    return client.send(endpoint, exchange(body), TIMEOUT_MS);
  }

  private static HttpExchange exchange(String body) {
    return new HttpExchange(HttpMethod.POST, "/echo", new DefaultHttpHeaders(), body.getBytes());
  }

  private static final class EchoHandler implements HttpExchangeHandler {

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      String body = new String(exchange.body());
      return CompletableFuture.completedFuture(HttpAnswer.text(200, "text/plain", body));
    }

    @Override
    public HttpAnswer refuse(ResultCode code, String message) {
      return HttpAnswer.text(code.httpStatus(), "text/plain", code.name());
    }
  }
}
