package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.UpstreamBehaviour;
import org.foxtailford.testkit.published.UpstreamProcessStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Integration tests of uploads, around the size up to which a body is buffered. */
public class LongUploadTests {

  private static final int TIMEOUT_MS = 40_000;
  private static final int BUFFERED_BYTES = 256 << 10;
  private static final int LONG_BYTES = 300_000;

  private final List<Integer> bodySizes = new CopyOnWriteArrayList<>();
  private EntryTestCluster cluster;
  private UpstreamProcessStandIn first;
  private UpstreamProcessStandIn second;

  @BeforeMethod
  public void begin() throws Exception {
    bodySizes.clear();
    cluster = new EntryTestCluster();
    cluster.configure(4);
    first = addUpstream("first");
    second = addUpstream("second");
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  private UpstreamProcessStandIn addUpstream(String id) {
    UpstreamProcessStandIn upstream = cluster.addUpstream(id, "plain");
    upstream.setRequestListener(exchange -> bodySizes.add(exchange.body().length));
    return upstream;
  }

  private void setBehaviour(UpstreamBehaviour behaviour) {
    first.setBehaviour(behaviour);
    second.setBehaviour(behaviour);
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    cluster.close();
  }

  @DataProvider
  public Object[][] uploads() {
    return new Object[][] {
      {"/once/", BUFFERED_BYTES - 1, false},
      {"/once/", BUFFERED_BYTES, false},
      {"/once/", BUFFERED_BYTES + 1, false},
      {"/once/", LONG_BYTES, false},
      {"/safe/", LONG_BYTES, false},
      {"/once/", BUFFERED_BYTES - 1, true},
      {"/once/", BUFFERED_BYTES, true},
      {"/once/", LONG_BYTES, true},
      {"/safe/", LONG_BYTES, true},
    };
  }

  /** Guards against a rejected upload that is sent again with the beginning of its body only. */
  @Test(dataProvider = "uploads", timeOut = TIMEOUT_MS)
  public void rejectedUploadIsNeverSentWithPartOfItsBody(String path, int bytes, boolean chunked)
      throws Exception {
    setBehaviour(UpstreamBehaviour.FULL);
    int status = chunked ? sendInChunks(path, bytes) : send(path, bytes).status();
    assertThat(status).isEqualTo(503);
    assertThat(bodySizes).isNotEmpty().containsOnly(bytes);
    if (bytes < BUFFERED_BYTES) {
      assertThat(bodySizes).as("attempts").hasSize(2);
    }
  }

  private HttpAnswer send(String path, int bytes) {
    String body = "x".repeat(bytes);
    return cluster.send(0, HttpMethod.POST, path + "upload", "up-" + bytes, body).join();
  }

  private int sendInChunks(String path, int bytes) throws Exception {
    int chunkBytes = 40_000;
    try (RawCaller caller = new RawCaller(cluster.settings(0).callers())) {
      caller.begin("POST", path + "upload", "up-" + bytes, "Deadline-Ms: 2000\r\n");
      caller.write("Transfer-Encoding: chunked\r\n\r\n");
      for (int left = bytes; left > 0; left -= chunkBytes) {
        int size = Math.min(left, chunkBytes);
        caller.write(Integer.toHexString(size) + "\r\n").write(size).write("\r\n");
      }
      String head = caller.write("0\r\n\r\n").readHead();
      return Integer.parseInt(head.split(" ")[1]);
    }
  }

  /** Guards against an own failure in place of an answer that no further attempt can replace. */
  @Test(timeOut = TIMEOUT_MS)
  public void failureOfALongUploadIsPassedOn() {
    setBehaviour(UpstreamBehaviour.FAILING);
    HttpAnswer answer = send("/safe/", LONG_BYTES);
    assertThat(answer.status()).isEqualTo(500);
    assertThat(answer.headers().contains("Response-Signature")).isTrue();
    assertThat(bodySizes).containsExactly(LONG_BYTES);
  }
}
