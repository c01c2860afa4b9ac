package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.TcpLinkStandIn;
import org.foxtailford.testkit.published.UpstreamBehaviour;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Integration tests of uploads that an entry VM without links to the upstreams relays to another.
 */
public class RelayedUploadTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int BUFFERED_BYTES = 256 << 10;
  private static final int LONG_BYTES = 300_000;

  private final List<String> faults = new CopyOnWriteArrayList<>();
  private final List<Integer> sizes = new CopyOnWriteArrayList<>();
  private LinkedTestCluster vms;

  @BeforeClass
  public void begin() throws Exception {
    vms = new LinkedTestCluster(2);
    for (String id : LinkedTestCluster.PLAIN) {
      vms.cluster().upstream(id).setRequestListener(exchange -> check(exchange.body()));
    }
    vms.setLinks(0, TcpLinkStandIn.State.RESET);
    EntryTestCluster.await("cut off", () -> isCutOffAfterRequest());
  }

  private boolean isCutOffAfterRequest() {
    vms.send(0, HttpMethod.GET, "/safe/x", "cut" + System.nanoTime()).join();
    return vms.isCutOff(0);
  }

  /** Waits until the other VM, which is avoided for a time after a refusal, is used again. */
  @BeforeMethod
  public void clear() throws Exception {
    setBehaviour(UpstreamBehaviour.NORMAL);
    EntryTestCluster.await("relayed", () -> send("/once/", 1).status() == 200);
    faults.clear();
    sizes.clear();
  }

  @AfterClass(alwaysRun = true)
  public void end() {
    vms.close();
  }

  private void setBehaviour(UpstreamBehaviour behaviour) {
    for (String id : LinkedTestCluster.PLAIN) {
      vms.cluster().upstream(id).setBehaviour(behaviour);
    }
  }

  private void check(byte[] body) {
    byte[] expected = body(body.length);
    if (!Arrays.equals(body, expected)) {
      faults.add("other bytes from " + Arrays.mismatch(body, expected));
    }
    sizes.add(body.length);
  }

  /** Returns a body in which each piece of a hundred bytes has a number. */
  private static byte[] body(int bytes) {
    StringBuilder text = new StringBuilder(bytes + 100);
    for (int piece = 0; text.length() < bytes; piece++) {
      text.append("%-100d".formatted(piece));
    }
    return text.substring(0, bytes).getBytes(StandardCharsets.US_ASCII);
  }

  @DataProvider
  public Object[][] uploads() {
    return new Object[][] {
      {UpstreamBehaviour.FULL, "/once/", BUFFERED_BYTES - 1, false},
      {UpstreamBehaviour.FULL, "/once/", BUFFERED_BYTES, true},
      {UpstreamBehaviour.FULL, "/once/", LONG_BYTES, false},
      {UpstreamBehaviour.FULL, "/once/", LONG_BYTES, true},
      {UpstreamBehaviour.FULL, "/safe/", LONG_BYTES, false},
      {UpstreamBehaviour.FULL, "/safe/", LONG_BYTES, true},
      {UpstreamBehaviour.FAILING, "/safe/", LONG_BYTES, false},
      {UpstreamBehaviour.FAILING, "/safe/", LONG_BYTES, true},
      {UpstreamBehaviour.NORMAL, "/once/", LONG_BYTES, false},
      {UpstreamBehaviour.NORMAL, "/once/", LONG_BYTES, true},
      {UpstreamBehaviour.NORMAL, "/once/", 3 * BUFFERED_BYTES, true},
    };
  }

  /** Guards against a relayed upload that one of the two VMs sends again without its end. */
  @Test(dataProvider = "uploads", timeOut = TIMEOUT_MS)
  public void relayedUploadArrivesWholeOrNotAtAll(
      UpstreamBehaviour behaviour, String path, int bytes, boolean chunked) throws Exception {
    setBehaviour(behaviour);
    int status = chunked ? sendInChunks(path, bytes) : send(path, bytes).status();
    assertThat(faults).isEmpty();
    assertThat(sizes).as("bytes at upstreams").isNotEmpty().containsOnly(bytes);
    if (behaviour == UpstreamBehaviour.NORMAL) {
      assertThat(sizes).as("runs").hasSize(1);
    }
    assertThat(status).isEqualTo(expectedStatus(behaviour));
  }

  private static int expectedStatus(UpstreamBehaviour behaviour) {
    return switch (behaviour) {
      case FULL -> 503;
      case FAILING -> 500;
      default -> 200;
    };
  }

  private HttpAnswer send(String path, int bytes) {
    String body = new String(body(bytes), StandardCharsets.US_ASCII);
    String id = "up" + System.nanoTime();
    return vms.cluster().send(0, HttpMethod.POST, path + "upload", id, body).join();
  }

  private int sendInChunks(String path, int bytes) throws Exception {
    byte[] body = body(bytes);
    int chunkBytes = 40_000;
    try (RawCaller caller = new RawCaller(vms.cluster().settings(0).callers())) {
      caller.begin("POST", path + "upload", "up" + System.nanoTime(), "Deadline-Ms: 2000\r\n");
      caller.write("Transfer-Encoding: chunked\r\n\r\n");
      for (int at = 0; at < bytes; at += chunkBytes) {
        int size = Math.min(bytes - at, chunkBytes);
        String chunk = new String(body, at, size, StandardCharsets.US_ASCII);
        caller.write(Integer.toHexString(size) + "\r\n" + chunk + "\r\n");
      }
      String head = caller.write("0\r\n\r\n").readHead();
      return Integer.parseInt(head.split(" ")[1]);
    }
  }
}
