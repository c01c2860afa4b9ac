package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Integration test of the memory for an answer whose caller reads nothing, kernel included. */
public class UnreadAnswerTests {

  private static final int TIMEOUT_MS = 40_000;

  /** What the upstream's kernel takes of an answer, in bytes. */
  private static final int UPSTREAM_BUFFER_BYTES = 64 << 10;

  /** What the caller's kernel takes of it, in bytes; by itself it would take megabytes. */
  private static final int CALLER_BUFFER_BYTES = 64 << 10;

  /** What an entry VM may hold of one answer in all, in bytes: 4 MB, and the kernel's buffers. */
  private static final long MAX_HELD_BYTES = 6 << 20;

  private static final long SETTLED_MS = 500;
  private static final int READ_BYTES = 24 << 20;

  private EntryTestCluster cluster;
  private LongAnswerUpstream upstream;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    upstream = new LongAnswerUpstream();
    cluster.register("long", "plain", upstream.listener.getLocalPort());
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws IOException {
    cluster.close();
    upstream.listener.close();
  }

  /** Guards against one caller that fills the memory for all answers by reading nothing more. */
  @Test(timeOut = TIMEOUT_MS)
  public void answerThatIsNotReadOnFillsLittleMemory() throws Exception {
    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(CALLER_BUFFER_BYTES);
      caller.connect(new InetSocketAddress("127.0.0.1", cluster.settings(0).callers().port()));
      String request = "GET /safe/a HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: u\r\n\r\n";
      caller.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      caller.getInputStream().readNBytes(READ_BYTES);
      long sent = awaitSettled();
      assertThat(sent - READ_BYTES - UPSTREAM_BUFFER_BYTES - CALLER_BUFFER_BYTES)
          .isLessThan(MAX_HELD_BYTES);
      caller.getInputStream().readNBytes(READ_BYTES);
      assertThat(awaitSettled()).as("sent after the caller has read on").isGreaterThan(sent);
    }
  }

  private long awaitSettled() throws InterruptedException {
    long before = -1;
    long sent = upstream.sentBytes.get();
    while (sent != before) {
      TimeUnit.MILLISECONDS.sleep(SETTLED_MS);
      before = sent;
      sent = upstream.sentBytes.get();
    }
    return sent;
  }

  /** Upstream that answers each request without end. */
  private static final class LongAnswerUpstream {

    private final ServerSocket listener = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    private final AtomicLong sentBytes = new AtomicLong();

    LongAnswerUpstream() throws IOException {
      Thread thread = new Thread(this::serve, "long answer");
      thread.setDaemon(true);
      thread.start();
    }

    private void serve() {
      byte[] part = new byte[16 << 10];
      while (!listener.isClosed()) {
        try (Socket socket = listener.accept()) {
          socket.setSendBufferSize(UPSTREAM_BUFFER_BYTES);
          socket.getInputStream().read(part);
          OutputStream out = socket.getOutputStream();
          String head = "HTTP/1.1 200 OK\r\nRequest-Id: u\r\nResponse-Signature: s\r\n\r\n";
          out.write(head.getBytes(StandardCharsets.ISO_8859_1));
          while (true) {
            out.write(part);
            sentBytes.addAndGet(part.length);
          }
        } catch (SocketException e) {
          continue; // the VM has closed the connection
        } catch (IOException e) {
          return;
        }
      }
    }
  }
}
