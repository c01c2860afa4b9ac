package org.foxtailford.net.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of upstreams that send an answer a second time, when the next request is there. */
public class LateAnswerTests {

  private static final int TIMEOUT_MS = 10_000;
  private static final int MAX_ANSWER_BYTES = 1000;
  private static final int PAUSE_MS = 50;
  private static final EchoedId ID = new EchoedId("Id", true);

  private EventLoopGroup loops;
  private PooledHttpClient client;
  private RawServer server;

  @BeforeMethod
  public void start() {
    loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    client = new PooledHttpClient(loops, 1, MAX_ANSWER_BYTES, ID);
  }

  @AfterMethod
  public void stop() {
    client.close();
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void serve(RawServer.Connection connection, boolean echoes, boolean repeats)
      throws IOException {
    String late = "";
    String head = connection.readRequest();
    while (!head.isEmpty()) {
      String id = head.replaceAll("(?s).*\r\nid: (\\w+)\r\n.*", "$1");
      String answer = "HTTP/1.1 200 OK\r\nDone: " + id + "\r\nContent-Length: 0\r\n";
      answer += echoes ? "Id: " + id + "\r\n\r\n" : "\r\n";
      if (!late.isEmpty()) {
        connection.write(late);
        pause(); // the answer that is due is read on its own
      }
      connection.write(answer);
      late = repeats ? answer : "";
      head = connection.readRequest();
    }
  }

  private static HttpExchange request(String id) {
    DefaultHttpHeaders headers = new DefaultHttpHeaders();
    headers.set("id", id);
    return new HttpExchange(HttpMethod.POST, "/release", headers, new byte[0]);
  }

  private String send(String id) {
    HttpAnswer answer = client.send(server.endpoint(), request(id), TIMEOUT_MS).join();
    return answer.headers().get("Done");
  }

  /** Guards against a second answer to a release that counts for the next release. */
  @Test(timeOut = TIMEOUT_MS)
  public void answerWithTheIdOfAnEarlierRequestIsSkipped() {
    server = new RawServer(connection -> serve(connection, true, true));
    assertThat(send("a")).isEqualTo("a");
    assertThat(send("b")).isEqualTo("b");
    assertThat(server.acceptedCount()).isEqualTo(1);
    assertThat(send("c")).isEqualTo("c");
    assertThat(server.acceptedCount()).isEqualTo(2);
  }

  /** Guards against the same where nothing but the connection tells the answers apart. */
  @Test(timeOut = TIMEOUT_MS)
  public void connectionWhoseAnswersStateNoIdCarriesOneRequest() {
    server = new RawServer(connection -> serve(connection, false, true));
    assertThat(send("a")).isEqualTo("a");
    assertThat(send("b")).isEqualTo("b");
    assertThat(server.acceptedCount()).isEqualTo(2);
  }

  /** A session stays on its connection, since only that binds it to a process. */
  @Test(timeOut = TIMEOUT_MS)
  public void sessionIsKeptThoughAnswersStateNoId() {
    server = new RawServer(connection -> serve(connection, false, false));
    SessionClient sessions =
        new SessionClient(loops, MAX_ANSWER_BYTES, new EchoedId(ID.field(), false));
    long session =
        sessions
            .send(server.endpoint(), request("a"), OptionalLong.empty(), TIMEOUT_MS)
            .join()
            .session();
    sessions.send(server.endpoint(), request("b"), OptionalLong.of(session), TIMEOUT_MS).join();
    assertThat(server.acceptedCount()).isEqualTo(1);
  }
}
