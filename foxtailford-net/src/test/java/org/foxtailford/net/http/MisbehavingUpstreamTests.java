package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.net.http.RawServer.Script;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the client, over real sockets, with upstreams that violate HTTP, stall or disconnect. */
public class MisbehavingUpstreamTests {

  private static final int LONG_MS = 20_000;
  private static final int SHORT_MS = 100;
  private static final int MAX_ANSWER_BYTES = 1000;
  private static final String COMPLETE_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  private EventLoopGroup loops;
  private PooledHttpClient client;
  private RawServer server;

  @BeforeMethod
  public void start() {
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    client = new PooledHttpClient(loops, 8, MAX_ANSWER_BYTES);
  }

  @AfterMethod
  public void stop() {
    client.close();
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @DataProvider
  public Object[][] invalidAnswers() {
    String ok = "HTTP/1.1 200 OK\r\n";
    return new Object[][] {
      {"", ResultCode.OUTCOME_UNKNOWN},
      {"HTTP/1.1 2", ResultCode.TRUNCATED_ANSWER},
      {ok + "Content-Length: 5\r\n\r\n", ResultCode.TRUNCATED_ANSWER},
      {ok + "Content-Length: 5\r\n\r\nab", ResultCode.TRUNCATED_ANSWER},
      {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", ResultCode.TRUNCATED_ANSWER},
      {ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", ResultCode.TRUNCATED_ANSWER},
      {ok + "\r\nno length", ResultCode.TRUNCATED_ANSWER},
      {ok + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc", ResultCode.TRUNCATED_ANSWER},
      {
        ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        ResultCode.TRUNCATED_ANSWER
      },
      {"gibberish\r\n\r\n", ResultCode.TRUNCATED_ANSWER},
      {"HTTP/1.1 101 Switching Protocols\r\n\r\n", ResultCode.TRUNCATED_ANSWER},
      {"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", ResultCode.TRUNCATED_ANSWER},
      {"HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok", ResultCode.TRUNCATED_ANSWER},
      {"HTTP/1.1 +200 OK\r\nContent-Length: 2\r\n\r\nok", ResultCode.TRUNCATED_ANSWER},
      {"ICY/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ResultCode.TRUNCATED_ANSWER},
      {ok + "X a: b\r\nContent-Length: 2\r\n\r\nok", ResultCode.TRUNCATED_ANSWER},
      {ok + "Content-Length : 2\r\n\r\nok", ResultCode.TRUNCATED_ANSWER},
      {ok + "Content-Length\t: 2\r\n\r\nok", ResultCode.TRUNCATED_ANSWER},
      {
        ok + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        ResultCode.TRUNCATED_ANSWER
      },
      {
        ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX a: b\r\n\r\n",
        ResultCode.TRUNCATED_ANSWER
      },
      {"HTTP/1.1 103 Hints\r\nX a: b\r\n\r\n" + COMPLETE_ANSWER, ResultCode.TRUNCATED_ANSWER},
      {
        ok + "Foxtail-Attempt: 7\r\nFoxtail-Attempt: 6\r\nContent-Length: 2\r\n\r\nok",
        ResultCode.TRUNCATED_ANSWER
      },
      {ok + "Content-Length: 1001\r\n\r\n" + "x".repeat(1001), ResultCode.ANSWER_TOO_LARGE},
      {ok + "Foxtail-Attempt: 6\r\nContent-Length: 2\r\n\r\nok", ResultCode.CROSSED_ANSWER},
      {COMPLETE_ANSWER + COMPLETE_ANSWER, ResultCode.TRUNCATED_ANSWER},
    };
  }

  @Test(dataProvider = "invalidAnswers")
  public void invalidAnswerFailsTheRequest(String answer, ResultCode expected) {
    serve(
        connection -> {
          connection.readRequest();
          connection.write(answer);
        });
    assertThat(codeOf(send("7", LONG_MS))).isEqualTo(expected);
  }

  @Test
  public void interimAnswersAreSkipped() {
    serve(
        connection -> {
          connection.readRequest();
          connection.write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + COMPLETE_ANSWER);
        });
    assertThat(send("7", LONG_MS).join().bodyText()).isEqualTo("ok");
  }

  @Test
  public void headAnswerHasNoBody() {
    serve(
        connection -> {
          while (!connection.readRequest().isEmpty()) {
            connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
          }
        });
    for (int i = 0; i < 2; i++) {
      HttpExchange head =
          new HttpExchange(HttpMethod.HEAD, "/a/b", new DefaultHttpHeaders(), new byte[0]);
      assertThat(client.send(server.endpoint(), head, LONG_MS).join().body()).isEmpty();
    }
    assertThat(server.acceptedCount()).isEqualTo(1);
  }

  @Test
  public void excessBytesAfterAnAnswerAreNotPartOfTheNextAnswer() {
    serve(
        connection -> {
          while (!connection.readRequest().isEmpty()) {
            connection.write(COMPLETE_ANSWER + "HTTP/1.1 200 OK\r\nContent-Le");
          }
        });
    for (int i = 1; i <= 3; i++) {
      assertThat(send("7", LONG_MS).join().bodyText()).isEqualTo("ok");
      assertThat(server.acceptedCount()).isEqualTo(i);
    }
  }

  @Test
  public void lateAnswerIsNotTakenForAnotherRequest() throws Exception {
    CountDownLatch timedOut = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    serve(
        connection -> {
          connection.readRequest();
          if (connection.number() == 1) {
            await(timedOut);
            connection.writeUnlessReset("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate");
            connection.awaitEnd();
            closed.countDown();
          } else {
            connection.write(COMPLETE_ANSWER);
          }
        });
    assertThat(codeOf(send("1", SHORT_MS))).isEqualTo(ResultCode.ANSWER_TIMEOUT);
    timedOut.countDown();
    assertThat(send("2", LONG_MS).join().bodyText()).isEqualTo("ok");
    assertThat(closed.await(LONG_MS, TimeUnit.MILLISECONDS)).isTrue();
  }

  @Test
  public void cancelledRequestClosesItsConnection() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    serve(
        connection -> {
          connection.readRequest();
          received.countDown();
          connection.awaitEnd();
          closed.countDown();
        });
    CompletableFuture<HttpAnswer> answer = send("1", LONG_MS);
    await(received);
    answer.cancel(true);
    assertThat(closed.await(LONG_MS, TimeUnit.MILLISECONDS)).isTrue();
  }

  @Test
  public void lossOfAReusedConnectionWithoutAnAnswerFailsAsStaleConnection() {
    serve(
        connection -> {
          connection.readRequest();
          connection.write(COMPLETE_ANSWER);
          connection.readRequest();
        });
    send("1", LONG_MS).join();
    Throwable failure = catchThrowable(() -> send("2", LONG_MS).join());
    assertThat(failure.getCause()).isInstanceOf(StaleConnectionException.class);
    assertThat(ResultCodeException.codeOf(failure)).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
  }

  @Test
  public void timeoutClosesIdleConnectionsWithoutAnAnswerSinceTheRequest() throws Exception {
    CountDownLatch bothReceived = new CountDownLatch(2);
    serve(
        connection -> {
          boolean first = true;
          while (!connection.readRequest().isEmpty()) {
            if (first) {
              bothReceived.countDown();
              await(bothReceived);
            }
            if (first || connection.number() > 2) {
              connection.write(COMPLETE_ANSWER);
            }
            first = false;
          }
        });
    List<CompletableFuture<HttpAnswer>> answers = new ArrayList<>();
    answers.add(send("1", LONG_MS));
    answers.add(send("2", LONG_MS));
    answers.forEach(CompletableFuture::join);
    assertThat(codeOf(send("3", SHORT_MS))).isEqualTo(ResultCode.ANSWER_TIMEOUT);
    assertThat(send("4", LONG_MS).join().bodyText()).isEqualTo("ok");
    assertThat(server.acceptedCount()).isEqualTo(3);
  }

  private void serve(Script script) {
    server = new RawServer(script);
  }

  private CompletableFuture<HttpAnswer> send(String attempt, int timeoutMs) {
    HttpHeaders headers = new DefaultHttpHeaders().set(FoxtailHeaders.ATTEMPT, attempt);
    HttpExchange exchange = new HttpExchange(HttpMethod.GET, "/a/b", headers, new byte[0]);
    return client.send(server.endpoint(), exchange, timeoutMs);
  }

  private static ResultCode codeOf(CompletableFuture<HttpAnswer> answer) {
    Throwable failure = catchThrowable(answer::join);
    assertThat(failure).isInstanceOf(CompletionException.class);
    return ResultCodeException.codeOf(failure);
  }

  private static void await(CountDownLatch latch) {
    try {
      assertThat(latch.await(LONG_MS, TimeUnit.MILLISECONDS)).isTrue();
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }
}
