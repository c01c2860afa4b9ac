package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.foxtailford.net.http.HttpAnswer;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Integration tests of upstreams in trouble that send bytes without end, in a head or a body. */
public class EndlessAnswerTests {

  private static final int TIMEOUT_MS = 40_000;

  /** Time that callers of the cluster wait, in milliseconds; longer than their routes allow. */
  private static final long CALLER_MS = 2000;

  /** Time after the caller's time limit until the connection has to be closed, in milliseconds. */
  private static final long CLOSE_MS = 1000;

  /** What an upstream may send before it is cut off: socket buffers and what a VM may hold. */
  private static final long MAX_BYTES = 16 << 20;

  private EntryTestCluster cluster;
  private EndlessUpstream upstream;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    upstream = new EndlessUpstream();
    cluster.register("endless", "plain", upstream.port());
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws IOException {
    cluster.close();
    upstream.close();
  }

  @DataProvider
  public Object[][] answers() {
    String signed = "Request-Id: %s\r\nResponse-Signature: s\r\n";
    return new Object[][] {
      {"no answer at all", "", "all work and no play "},
      {"status line", "HTTP/1.1 200 ", "OK"},
      {"head", "HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {
        "answers to others",
        "",
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nno"
      },
      {"body without signature", "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n\r\n", "more and more "},
      {"body of a failure", "HTTP/1.1 500 Oops\r\n" + signed + "\r\n", "more and more "},
      {"body of a rejection", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n", "more and more "},
      {
        "chunks",
        "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nmore\r\n"
      },
      {"signed body", "HTTP/1.1 200 OK\r\n" + signed + "\r\n", "more and more "},
    };
  }

  @Test(dataProvider = "answers", timeOut = TIMEOUT_MS)
  public void connectionOfARequestThatMayRepeatIsClosedInTime(
      String name, String begin, String more) throws Exception {
    check(HttpMethod.GET, "/safe/a", begin, more);
  }

  @Test(dataProvider = "answers", timeOut = TIMEOUT_MS)
  public void connectionOfARequestThatRunsOnceIsClosedInTime(String name, String begin, String more)
      throws Exception {
    check(HttpMethod.POST, "/once/a", begin, more);
  }

  private void check(HttpMethod method, String path, String begin, String more) throws Exception {
    upstream.answerWith(String.format(begin, "endless-1"), more);
    long beganMs = System.currentTimeMillis();
    CompletableFuture<HttpAnswer> answer = cluster.send(0, method, path, "endless-1", "");
    long limitMs = beganMs + CALLER_MS + CLOSE_MS;
    boolean complete = false;
    try {
      complete = answer.join().status() / 100 == 2;
    } catch (CompletionException e) {
      complete = false; // cut off, which the caller sees
    }
    assertThat(complete).as("a whole answer").isFalse();
    while (upstream.openConnections() > 0 && System.currentTimeMillis() < limitMs) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(upstream.openConnections()).as("open connections").isZero();
    assertThat(upstream.sentBytes()).isLessThan(MAX_BYTES);
  }

  /** Upstream that writes some text again and again until its connection is closed. */
  private static final class EndlessUpstream implements AutoCloseable {

    private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private volatile String begin = "";
    private volatile byte[] more = {'x'};
    private volatile int connections;
    private volatile long bytes;

    EndlessUpstream() throws IOException {
      new Thread(this::accept, "endless upstream").start();
    }

    int port() {
      return server.getLocalPort();
    }

    void answerWith(String newBegin, String newMore) {
      begin = newBegin;
      more = newMore.repeat(Math.max(1, 4096 / newMore.length())).getBytes(StandardCharsets.UTF_8);
    }

    synchronized int openConnections() {
      return connections;
    }

    long sentBytes() {
      return bytes;
    }

    private synchronized void count(int change) {
      connections += change;
    }

    private synchronized void addBytes(long sent) {
      bytes += sent;
    }

    private void accept() {
      try {
        while (true) {
          Socket socket = server.accept();
          new Thread(() -> serve(socket), "endless answer").start();
        }
      } catch (IOException e) {
        return; // closed
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        InputStream in = socket.getInputStream();
        if (in.read(new byte[4096]) < 0) {
          return;
        }
        count(1);
        try {
          OutputStream out = socket.getOutputStream();
          out.write(begin.getBytes(StandardCharsets.UTF_8));
          while (true) {
            out.write(more);
            addBytes(more.length);
          }
        } finally {
          count(-1);
        }
      } catch (IOException e) {
        return; // the caller has closed the connection
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }
}
