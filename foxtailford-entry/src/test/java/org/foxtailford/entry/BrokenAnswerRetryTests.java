package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;
import static org.foxtailford.entry.RawAnswerCluster.CUT_VM;
import static org.foxtailford.entry.RawAnswerCluster.OK;
import static org.foxtailford.entry.RawAnswerCluster.SOUND_VM;

import java.io.IOException;
import java.util.List;
import java.util.stream.IntStream;
import org.foxtailford.entry.RawAnswerCluster.Arrival;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Integration tests of what becomes of requests and upstreams after broken answers. */
public class BrokenAnswerRetryTests {

  private static final int TIMEOUT_MS = 30_000;
  private static final String ID = "Request-Id: %s\r\nResponse-Signature: broken\r\n";

  /** Size of an upload of which half is more than a VM waits for before it sends it, in bytes. */
  private static final int UPLOAD_BYTES = 800_000;

  private RawAnswerCluster cluster;

  @BeforeClass
  public void begin() throws Exception {
    cluster = new RawAnswerCluster();
  }

  @AfterClass(alwaysRun = true)
  public void end() throws IOException {
    cluster.close();
  }

  /** Returns broken answers, without their bodies of six bytes. */
  @DataProvider
  public Object[][] brokenHeads() {
    return new Object[][] {
      {"HTTP/1.1 000 OK\r\n" + ID + "Content-Length: 6\r\n\r\n"},
      {OK + "X broken: 1\r\n" + ID + "Content-Length: 6\r\n\r\n"},
      {OK + ID + "Content-Length : 6\r\n\r\n"},
      {OK + ID + "Transfer-Encoding: gzip\r\n\r\n"},
    };
  }

  @DataProvider
  public Object[][] vms() {
    return new Object[][] {{SOUND_VM}, {CUT_VM}};
  }

  @Test(dataProvider = "brokenHeads", timeOut = TIMEOUT_MS)
  public void requestThatMayRepeatIsSentAgain(String head) throws Exception {
    cluster.awaitRecovery();
    Arrival arrival =
        cluster.sendUntilItArrives(
            head + "broken", id -> cluster.call(SOUND_VM, "GET", "/safe/x", id, ""));
    assertThat(arrival.received()).startsWith("HTTP/1.1 200 ").endsWith("\r\n\r\nsound");
    assertThat(cluster.arrivals(arrival.id())).as("arrivals").hasSize(2);
  }

  @Test(dataProvider = "brokenHeads", timeOut = TIMEOUT_MS)
  public void answerToHeadIsChecked(String head) throws Exception {
    Arrival arrival =
        cluster.sendUntilItArrives(head, id -> cluster.call(SOUND_VM, "HEAD", "/once/x", id, ""));
    assertThat(arrival.received()).startsWith("HTTP/1.1 502 ").endsWith("\r\n\r\n");
    assertThat(cluster.arrivals(arrival.id())).as("arrivals").hasSize(1);
  }

  @Test(dataProvider = "brokenHeads", timeOut = TIMEOUT_MS)
  public void uploadFailsBeforeItsBodyWasRead(String head) throws Exception {
    for (int vm : new int[] {SOUND_VM, CUT_VM}) {
      String half = "x".repeat(UPLOAD_BYTES / 2);
      Arrival arrival =
          cluster.sendUntilItArrives(
              head + "broken", id -> cluster.beginUpload(vm, id, UPLOAD_BYTES, half));
      assertThat(arrival.received()).startsWith("HTTP/1.1 502 ").doesNotContain("broken");
      assertThat(cluster.arrivals(arrival.id())).as("arrivals").hasSize(1);
    }
  }

  /** The caller has had the head and a part of the body when the answer breaks. */
  @Test(dataProvider = "vms", timeOut = TIMEOUT_MS)
  public void longAnswerWithABrokenTrailerDoesNotLookComplete(int vm) throws Exception {
    String chunk = "10000\r\n" + "x".repeat(0x10000) + "\r\n";
    String head =
        OK + "Request-Id: %s\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    Arrival arrival =
        cluster.sendUntilItArrives(
            head + chunk + "0\r\nX broken: 1\r\n\r\n",
            id -> cluster.call(vm, "GET", "/safe/x", id, ""));
    assertThat(arrival.received())
        .startsWith("HTTP/1.1 200 ")
        .containsIgnoringCase("transfer-encoding: chunked")
        .doesNotContain("broken", "sound")
        .doesNotEndWith("0\r\n\r\n");
    assertThat(cluster.arrivals(arrival.id())).as("arrivals").hasSize(1);
  }

  /** Requests that go to the upstream of choice go elsewhere soon after it sends broken answers. */
  @Test(timeOut = TIMEOUT_MS)
  public void upstreamInTroubleIsChosenLess() throws Exception {
    int requests = 120;
    cluster.awaitRecovery();
    cluster.putNextUpstreamInTrouble();
    List<String> ids = IntStream.range(0, requests).mapToObj(i -> servedRequest()).toList();
    int upstream = cluster.endTrouble();
    long arrived = ids.stream().filter(id -> cluster.arrivals(id).contains(upstream)).count();
    assertThat(arrived).isBetween(1L, (long) requests / RawAnswerCluster.UPSTREAMS);
  }

  private String servedRequest() {
    String id = RawAnswerCluster.newId();
    assertThat(cluster.call(SOUND_VM, "GET", "/safe/x", id, "")).startsWith("HTTP/1.1 200 ");
    return id;
  }
}
