package org.foxtailford.net.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.net.exchange.ExchangeDialect;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Sends whose caller leaves, or whose time passes, before a connection is established. */
public class UpstreamPoolTests {

  private static final int TIMEOUT_MS = 20_000;
  private static final String TIME_LEFT = "time-left";

  private final ExchangeDialect dialect =
      (ExchangeDialect)
          Proxy.newProxyInstance(
              getClass().getClassLoader(),
              new Class<?>[] {ExchangeDialect.class},
              (proxy, method, arguments) -> absent(method));
  private EventLoopGroup loops;
  private ServerSocket upstream;
  private UpstreamPool pool;

  private static Object absent(Method method) {
    if (method.getReturnType() == List.class) {
      return List.of();
    }
    return method.getReturnType() == OptionalLong.class ? OptionalLong.empty() : Optional.empty();
  }

  @BeforeMethod
  public void begin() throws Exception {
    loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    upstream = new ServerSocket(0, 16, InetAddress.getByAddress(new byte[] {127, 0, 0, 1}));
    upstream.setSoTimeout(TIMEOUT_MS);
    UpstreamAddress address = new UpstreamAddress("127.0.0.1", upstream.getLocalPort());
    pool = new UpstreamPool(loops, address, dialect, () -> 0);
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    upstream.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private CompletableFuture<UpstreamFailure> send(String path, SendGate gate) {
    return send(path, gate, () -> {});
  }

  /**
   * Sends a request.
   *
   * @param afterwards runs on the event loop before a new connection can be established
   */
  private CompletableFuture<UpstreamFailure> send(String path, SendGate gate, Runnable afterwards) {
    CompletableFuture<UpstreamFailure> failed = new CompletableFuture<>();
    UpstreamRequest request =
        new UpstreamRequest(
            HttpMethod.GET,
            path,
            new DefaultHttpHeaders(),
            new BodyPart(Unpooled.EMPTY_BUFFER, 0, true),
            OptionalLong.of(0),
            "",
            new UsedConnections(),
            TIMEOUT_MS,
            gate);
    UpstreamListener listener =
        (UpstreamListener)
            Proxy.newProxyInstance(
                getClass().getClassLoader(),
                new Class<?>[] {UpstreamListener.class},
                (proxy, method, arguments) -> {
                  if (method.getName().equals("onFailure")) {
                    failed.complete((UpstreamFailure) arguments[0]);
                  }
                  return null;
                });
    loops
        .next()
        .execute(
            () -> {
              pool.send(request, listener);
              afterwards.run();
            });
    return failed;
  }

  /** Returns a gate that is passed a number of times, and states how often it was asked. */
  private static SendGate passedTimes(int times, UpstreamFailure then) {
    AtomicInteger asked = new AtomicInteger();
    return (HttpHeaders headers) -> {
      headers.set(TIME_LEFT, asked.incrementAndGet());
      return asked.get() > times ? Optional.of(then) : Optional.empty();
    };
  }

  // GONE: a connection that was established after the caller's end sent its request at once.
  @Test(timeOut = TIMEOUT_MS)
  public void requestIsNotSentIfItsCallerLeavesWhileAConnectionIsOpened() throws Exception {
    CompletableFuture<UpstreamFailure> failed =
        send("/left", passedTimes(1, UpstreamFailure.CALLER_LEFT));
    try (Socket accepted = upstream.accept()) {
      assertThat(failed.get()).isEqualTo(UpstreamFailure.CALLER_LEFT);
      send("/next", SendGate.OPEN);
      assertThat(readLine(accepted)).isEqualTo("GET /next HTTP/1.1");
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void noConnectionIsOpenedForACallerThatHasLeft() throws Exception {
    CompletableFuture<UpstreamFailure> failed =
        send("/left", passedTimes(0, UpstreamFailure.CALLER_LEFT));
    assertThat(failed.get()).isEqualTo(UpstreamFailure.CALLER_LEFT);
    assertThat(pool.connects()).isZero();
  }

  // BUDGET: a connection that opened late passed on the time that was left before.
  @Test(timeOut = TIMEOUT_MS)
  public void timeLeftIsStatedAsOfTheSend() throws Exception {
    send("/a", passedTimes(2, UpstreamFailure.TIME_UP));
    try (Socket accepted = upstream.accept()) {
      BufferedReader reader = reader(accepted);
      assertThat(reader.readLine()).isEqualTo("GET /a HTTP/1.1");
      assertThat(reader.readLine()).isEqualTo(TIME_LEFT + ": 2");
    }
  }

  // DRAIN: a connection that opened late sent its request to an upstream that had left meanwhile.
  @Test(timeOut = TIMEOUT_MS)
  public void requestIsNotSentIfItsUpstreamLeavesWhileAConnectionIsOpened() throws Exception {
    CompletableFuture<UpstreamFailure> failed = send("/a", SendGate.OPEN, pool::close);
    try (Socket accepted = upstream.accept()) {
      assertThat(failed.get(2, TimeUnit.SECONDS)).isEqualTo(UpstreamFailure.NOT_CONNECTED);
    }
  }

  // A request that may run once only was lost with a connection whose end was there to be read.
  @Test(timeOut = TIMEOUT_MS)
  public void requestIsNotSentOnAConnectionThatItsUpstreamHasClosed() throws Exception {
    CompletableFuture<Boolean> probed = new CompletableFuture<>();
    loops.next().execute(() -> pool.probe(failure -> probed.complete(failure.isEmpty())));
    try (Socket idle = upstream.accept()) {
      assertThat(probed.get()).isTrue();
      CountDownLatch held = new CountDownLatch(1);
      CountDownLatch closed = new CountDownLatch(1);
      loops.next().execute(() -> await(held, closed));
      held.await();
      CompletableFuture<UpstreamFailure> failed = send("/once", SendGate.OPEN);
      idle.close();
      TimeUnit.MILLISECONDS.sleep(50);
      closed.countDown();
      upstream.setSoTimeout(2000);
      try (Socket accepted = upstream.accept()) {
        assertThat(readLine(accepted)).isEqualTo("GET /once HTTP/1.1");
        assertThat(failed).isNotDone();
      }
    }
  }

  private static void await(CountDownLatch held, CountDownLatch until) {
    held.countDown();
    try {
      until.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static String readLine(Socket socket) throws Exception {
    return reader(socket).readLine();
  }

  private static BufferedReader reader(Socket socket) throws Exception {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
  }
}
