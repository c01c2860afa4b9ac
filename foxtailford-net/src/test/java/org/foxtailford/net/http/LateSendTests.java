package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A request is not sent after its time is over, though the event loop of its connection is late.
 */
public class LateSendTests {

  private static final int TIMEOUT_MS = 10_000;

  private EventLoopGroup loops;
  private RawServer server;

  @BeforeMethod
  public void start() {
    loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  }

  @AfterMethod
  public void stop() {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static HttpExchange request(String id) {
    DefaultHttpHeaders headers = new DefaultHttpHeaders();
    headers.set("id", id);
    return new HttpExchange(HttpMethod.POST, "/grant", headers, new byte[0]);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void requestIsNotSentByALateLoopAfterItsTime() throws InterruptedException {
    AtomicInteger received = new AtomicInteger();
    server =
        new RawServer(
            connection -> {
              while (!connection.readRequest().isEmpty()) {
                received.incrementAndGet();
                connection.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
              }
            });
    SessionClient sessions = new SessionClient(loops, 1000, new EchoedId("id", false));
    sessions.send(server.endpoint(), request("a"), OptionalLong.empty(), 5000).join();
    loops.execute(LateSendTests::sleep);
    sessions.send(server.endpoint(), request("b"), OptionalLong.empty(), 100);
    TimeUnit.MILLISECONDS.sleep(1500);
    assertThat(received.get()).as("requests that reached the server").isEqualTo(1);
  }

  private static void sleep() {
    try {
      TimeUnit.MILLISECONDS.sleep(700);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
