package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class BootIdTests {

  private static final int TIMEOUT_MS = 20_000;
  private static final HttpLimits LIMITS = new HttpLimits(4096, 1000);

  /** Ports below those that the system takes for connections; one of these took a freed port. */
  private static final int FIRST_PORT = 12_000;

  private static final int LAST_PORT = 32_000;

  private final List<Long> reportedBootIds = new CopyOnWriteArrayList<>();
  private final List<String> timeoutHeaders = new CopyOnWriteArrayList<>();
  private EventLoopGroup loops;
  private HttpServer server;
  private PooledHttpClient client;
  private Endpoint endpoint;

  @BeforeMethod
  public void start() throws IOException {
    reportedBootIds.clear();
    timeoutHeaders.clear();
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    client = new PooledHttpClient(loops, 2, 1000, (address, bootId) -> reportedBootIds.add(bootId));
    endpoint = Endpoint.newBuilder().setHost("127.0.0.1").setPort(freePort()).build();
    startServer("7");
  }

  private static int freePort() throws IOException {
    int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
    while (!isFree(port)) {
      port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
    }
    return port;
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    client.close();
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void startServer(String bootId) {
    server = new HttpServer(loops, LIMITS, new BootIdHandler(bootId));
    endpoint = endpoint.toBuilder().setPort(server.bind(endpoint)).build();
  }

  /**
   * Starts another server on the port, which is free after the next pass of the event loop only.
   */
  private void restartServer(String bootId) throws IOException {
    server.close();
    while (!isFree(endpoint.getPort())) {
      Thread.onSpinWait();
    }
    startServer(bootId);
  }

  private static boolean isFree(int port) throws IOException {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (BindException e) {
      return false;
    }
  }

  private CompletableFuture<HttpAnswer> send(long bootId) {
    HttpExchange request =
        new HttpExchange(HttpMethod.GET, "/menu/get", new DefaultHttpHeaders(), new byte[0]);
    return client.send(endpoint, request, OptionalLong.of(bootId), TIMEOUT_MS);
  }

  @Test
  public void requestIsSentToTheProcessWithTheRequiredBootId() {
    assertThat(send(7).join().status()).isEqualTo(200);
    assertThat(reportedBootIds).containsExactly(7L);
    assertThat(timeoutHeaders).hasSize(1);
    assertThat(Integer.parseInt(timeoutHeaders.get(0))).isBetween(1, TIMEOUT_MS);
  }

  @Test
  public void requestForAnotherBootIdIsNotSent() {
    assertNotSent(send(8));
    assertThat(reportedBootIds).containsExactly(7L);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void restartIsDetectedBeforeARequestIsSent() throws IOException {
    send(7).join();
    restartServer("9");
    assertThatThrownBy(() -> send(7).join()).hasCauseInstanceOf(ResultCodeException.class);
    assertThat(timeoutHeaders).hasSize(1);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void requestWithABootIdIsNotSentToAnUpstreamWithoutOne() throws IOException {
    restartServer("");
    assertNotSent(send(7));
  }

  private void assertNotSent(CompletableFuture<HttpAnswer> answer) {
    assertThatThrownBy(answer::join)
        .satisfies(
            failure ->
                assertThat(ResultCodeException.codeOf(failure))
                    .isEqualTo(ResultCode.UPSTREAM_UNREACHABLE));
    assertThat(timeoutHeaders).isEmpty();
  }

  private final class BootIdHandler implements HttpExchangeHandler {

    private final String bootId;

    BootIdHandler(String bootId) {
      this.bootId = bootId;
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      if (exchange.path().startsWith("/menu")) {
        timeoutHeaders.add(exchange.headers().get(FoxtailHeaders.TIMEOUT_MS));
      }
      HttpAnswer answer = HttpAnswer.text(200, "text/plain", "done");
      answer.headers().set(FoxtailHeaders.BOOT_ID, bootId);
      return CompletableFuture.completedFuture(answer);
    }

    @Override
    public HttpAnswer refuse(ResultCode code, String message) {
      return HttpAnswer.text(code.httpStatus(), "text/plain", code.name());
    }
  }
}
