package org.foxtailford.net.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.time.ArrivalClock;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.schema.Endpoint;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests, on real sockets, of what a caller gets of the last answer of its connection. */
public class CallerConnectionEndTests {

  private static final int TIMEOUT_MS = 20_000;
  private static final long IDLE_TIMEOUT_MS = 200;

  /** Bytes of an answer that the VM's kernel takes at once, but not the caller's. */
  private static final int BODY_BYTES = 30_000;

  private static final int RECEIVE_BUFFER_BYTES = 4096;
  private static final String LAST = "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  private static final String FURTHER = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";

  private final MillisClock clock = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  private EventLoopGroup loops;
  private CallerServer server;
  private CountDownLatch answered;
  private Socket caller;

  private final CallerHandler handler =
      new CallerHandler() {
        @Override
        public void onRequest(CallerExchange exchange) {
          exchange.setListener(
              new CallerExchange.Listener() {
                @Override
                public void onBodyReady() {
                  ByteBuf body = Unpooled.buffer().writeZero(BODY_BYTES);
                  exchange.answer(200, new DefaultHttpHeaders(), body);
                  answered.countDown();
                }
              });
        }

        @Override
        public void onUnreadable(CallerExchange exchange, int status, String reason) {
          throw new AssertionError(reason);
        }
      };

  @BeforeMethod
  public void begin() throws IOException {
    answered = new CountDownLatch(1);
    loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    CallerLimits limits = new CallerLimits(16 << 10, 1 << 20, 1000, IDLE_TIMEOUT_MS);
    server =
        new CallerServer(
            loops, handler, () -> limits, clock, new ArrivalClock(clock), new CallerBuffers());
    int port = server.bind(Endpoint.newBuilder().setHost("127.0.0.1").setPort(0).build());
    caller = new Socket();
    caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    caller.setSoTimeout(TIMEOUT_MS);
    caller.connect(
        new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), port));
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws IOException {
    caller.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private void write(String text) throws IOException {
    caller.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private int openConnections() {
    try {
      return loops.submit(server::connections).get();
    } catch (InterruptedException | ExecutionException e) {
      throw new AssertionError(e);
    }
  }

  /** Guards against a request behind the last answer that makes TCP drop the rest of that. */
  @Test(timeOut = TIMEOUT_MS)
  public void lastAnswerIsWholeThoughTheCallerSendsOn() throws Exception {
    write(LAST);
    answered.await();
    write(FURTHER);
    String received =
        new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    assertThat(received.substring(received.indexOf("\r\n\r\n") + 4)).hasSize(BODY_BYTES);
  }

  /** Guards against a caller that never closes, with a part of a request behind the last answer. */
  @Test(timeOut = TIMEOUT_MS)
  public void callerThatDoesNotCloseIsCutOffByTheIdleTimeout() throws Exception {
    write(LAST + "GET /b HT");
    caller.getInputStream().readAllBytes();
    while (openConnections() > 0) {
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }
}
