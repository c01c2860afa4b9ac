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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.time.ArrivalClock;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of which pipelined requests are started and answered before a connection closes. */
public class CallerConnectionCloseTests {

  private static final int SEQUENCES = 3000;
  private static final int STEPS = 40;
  private static final int PART_BYTES = 100;

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<CallerExchange> started = new ArrayList<>();
  private final CallerHandler handler =
      new CallerHandler() {
        @Override
        public void onRequest(CallerExchange exchange) {
          started.add(exchange);
          if (exchange.uri().equals("/long")) {
            exchange.answerAlone();
          }
        }

        @Override
        public void onUnreadable(CallerExchange exchange, int status, String reason) {
          exchange.answer(status, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        }
      };
  private final CallerBuffers buffers = new CallerBuffers();
  private final ArrivalClock arrivals = new ArrivalClock(() -> 0);
  private final CallerServer server =
      new CallerServer(loops, handler, () -> CallerLimits.DEFAULT, () -> 0, arrivals, buffers);
  private EmbeddedChannel channel;
  private CallerConnection connection;

  @BeforeMethod
  public void connect() {
    started.clear();
    arrivals.beginPass(); // the loop's thread would start connections beyond a number in a pass
    ReadAhead readAhead = new ReadAhead(server, () -> 0);
    connection =
        new CallerConnection(server, readAhead, handler, () -> CallerLimits.DEFAULT, () -> 0);
    channel = new EmbeddedChannel(readAhead, connection);
  }

  @AfterClass
  public void end() {
    loops.shutdownGracefully();
  }

  private void get(String uri) {
    channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri));
    channel.runPendingTasks();
  }

  private void answer(int index) {
    started.get(index).answer(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
    channel.runPendingTasks();
  }

  private void beginLong(int index) {
    started.get(index).begin(200, new DefaultHttpHeaders(), Optional.of(9L * PART_BYTES));
    started.get(index).write(part());
  }

  private static ByteBuf part() {
    return Unpooled.buffer(PART_BYTES).writeZero(PART_BYTES);
  }

  private List<HttpResponse> written() {
    List<HttpResponse> heads = new ArrayList<>();
    for (Object message = channel.readOutbound();
        message != null;
        message = channel.readOutbound()) {
      if (message instanceof HttpResponse) {
        heads.add((HttpResponse) message);
      }
      ReferenceCountUtil.release(message);
    }
    return heads;
  }

  /** Guards against a request that is started behind an answer with which the connection closes. */
  @Test
  public void noRequestIsStartedBehindTheLastAnswerOfADrainingConnection() {
    get("/a");
    get("/b");
    connection.drain();
    answer(1); // waits for the first one
    get("/c");
    assertThat(started).hasSize(2);
    answer(0);
    assertThat(channel.isOpen()).isFalse();
    assertThat(written()).hasSize(2);
  }

  /** Guards against a connection that never closes, as its caller sends on without end. */
  @Test
  public void drainingConnectionClosesThoughRequestsKeepComing() {
    get("/a");
    connection.drain();
    get("/b");
    answer(0);
    assertThat(started).hasSize(1);
    assertThat(channel.isOpen()).isFalse();
    assertThat(written().get(0).headers().get(HttpHeaderNames.CONNECTION)).isEqualTo("close");
  }

  @Test
  public void requestsStartedBeforeTheDrainAreAllAnswered() {
    get("/a");
    get("/b");
    connection.drain();
    answer(0);
    assertThat(channel.isOpen()).isTrue();
    answer(1);
    assertThat(channel.isOpen()).isFalse();
    assertThat(written()).hasSize(2);
  }

  /** Guards against requests that are lost behind one whose caller asked for the close. */
  @Test
  public void noRequestIsStartedBehindOneThatAsksForTheClose() {
    DefaultFullHttpRequest last =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a");
    last.headers().set(HttpHeaderNames.CONNECTION, "close");
    channel.writeInbound(last);
    get("/b");
    assertThat(started).hasSize(1);
    answer(0);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against an answer to HTTP/1.0 that ends with the connection and takes others along. */
  @Test
  public void requestBehindOneOfHttp10WaitsForItsAnswer() {
    DefaultFullHttpRequest old =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET, "/a");
    old.headers().set(HttpHeaderNames.CONNECTION, "keep-alive");
    channel.writeInbound(old);
    get("/b");
    assertThat(started).hasSize(1);
    started.get(0).begin(200, new DefaultHttpHeaders(), Optional.empty());
    started.get(0).end();
    channel.runPendingTasks();
    assertThat(started).hasSize(1);
    assertThat(channel.isOpen()).isFalse();
  }

  /** Guards against a download that breaks off and takes requests at sound upstreams along. */
  @Test
  public void requestBehindALongAnswerIsStartedWhenThatHasEnded() {
    get("/long");
    get("/b");
    assertThat(started).hasSize(1);
    answer(0);
    assertThat(started).hasSize(2);
  }

  /** Guards against an answer that breaks off behind others and takes them along. */
  @Test
  public void answerThatBreaksOffBehindAnotherIsReplaced() {
    get("/a");
    get("/b");
    beginLong(1);
    assertThat(buffers.answers().heldBytes()).isPositive();
    assertThat(started.get(1).tryTakeBackAnswer()).isTrue();
    assertThat(buffers.answers().heldBytes()).isZero();
    answer(1);
    answer(0);
    assertThat(channel.isOpen()).isTrue();
    assertThat(written()).hasSize(2);
  }

  @Test
  public void answerInSendingCannotBeTakenBack() {
    get("/a");
    beginLong(0);
    assertThat(started.get(0).tryTakeBackAnswer()).isFalse();
    started.get(0).abort();
    assertThat(channel.isOpen()).isFalse();
  }

  @Test
  public void abortBehindAnotherRequestWaitsForItsAnswer() {
    get("/a");
    get("/b");
    beginLong(1);
    started.get(1).abort();
    assertThat(channel.isOpen()).isTrue();
    answer(0);
    assertThat(channel.isOpen()).isFalse();
    assertThat(written()).hasSize(1);
  }

  /**
   * Draws sequences of arrivals, answers and a drain. The connection closes only when each started
   * request is answered, and it does close in the end.
   */
  @Test
  public void drawnSequencesLoseNoStartedRequest() {
    for (int seed = 0; seed < SEQUENCES; seed++) {
      connect();
      Random random = new Random(seed);
      List<CallerExchange> open = new ArrayList<>();
      for (int step = 0; step < STEPS; step++) {
        draw(random, open);
        assertThat(channel.isOpen() || open.isEmpty())
            .as("seed %d, step %d: closed before %d answers", seed, step, open.size())
            .isTrue();
      }
      connection.drain();
      if (channel.isOpen()) {
        get("/last");
      }
      while (channel.isOpen() && !open(open).isEmpty()) {
        get("/more");
        open.remove(0).answer(200, new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER);
        channel.runPendingTasks();
      }
      assertThat(open(open)).as("seed %d", seed).isEmpty();
      assertThat(channel.isOpen()).as("seed %d: open after the drain", seed).isFalse();
      written();
    }
  }

  /** Adds requests that were started since, and returns those without an answer. */
  private List<CallerExchange> open(List<CallerExchange> open) {
    open.addAll(started);
    started.clear();
    return open;
  }

  private void draw(Random random, List<CallerExchange> open) {
    int kind = random.nextInt(20);
    if (kind == 0 && random.nextInt(4) == 0) {
      connection.drain();
    } else if (kind < 10 && channel.isOpen()) {
      HttpVersion version = kind == 1 ? HttpVersion.HTTP_1_0 : HttpVersion.HTTP_1_1;
      HttpMethod method = kind < 4 ? HttpMethod.POST : HttpMethod.GET;
      String uri = kind == 5 ? "/long" : "/any";
      DefaultFullHttpRequest request = new DefaultFullHttpRequest(version, method, uri);
      if (kind == 1 || random.nextInt(10) == 0) {
        request.headers().set(HttpHeaderNames.CONNECTION, kind == 1 ? "keep-alive" : "close");
      }
      channel.writeInbound(request);
    } else if (!open(open).isEmpty()) {
      CallerExchange exchange = open.remove(random.nextInt(open.size()));
      Optional<Long> length = random.nextBoolean() ? Optional.of(0L) : Optional.empty();
      exchange.begin(200, new DefaultHttpHeaders(), length);
      exchange.end();
    }
    channel.runPendingTasks();
    open(open);
  }
}
