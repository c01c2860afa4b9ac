package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailford.testkit.published.TcpLinkStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests whose callers close their connection are ended, and not sent any more. */
public class CallersThatLeaveTests {

  private static final int TIMEOUT_MS = 60_000;

  /** Documented time from the end of a caller to that of its requests, in milliseconds. */
  private static final long LEFT_MS = 500;

  /** Longer than the time limit of the routes, in milliseconds. */
  private static final long WATCHED_MS = 2000;

  /** Time from the requests to the end of their caller, in milliseconds. */
  private static final long STAY_MS = 250;

  private static final List<String> IDS = List.of("s1", "s2", "s3", "s4", "s5", "s6");

  private EntryTestCluster cluster;
  private SilentUpstream upstream;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    upstream = new SilentUpstream();
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    cluster.close();
    upstream.close();
  }

  private void startVm(int upstreams) throws Exception {
    IDS.subList(0, upstreams).forEach(id -> cluster.register(id, "plain", upstream.port()));
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  private RawCaller connect(int vm) throws IOException {
    return new RawCaller(cluster.settings(vm).callers());
  }

  private static void sendGets(RawCaller caller, int count, String... fields) throws IOException {
    for (int i = 0; i < count; i++) {
      caller.begin("GET", "/safe/x", "get" + i, fields).write("\r\n");
    }
  }

  @DataProvider
  public Object[][] pipelinedRequests() {
    return new Object[][] {{16}, {60}};
  }

  @DataProvider
  public Object[][] fewRequests() {
    return new Object[][] {{1}, {15}};
  }

  // GONE: 16 pipelined requests worked on until their time limit after their caller had left.
  @Test(dataProvider = "pipelinedRequests", timeOut = TIMEOUT_MS)
  public void pipelinedRequestsOfCallerThatLeftAreEnded(int requests) throws Exception {
    startVm(IDS.size());
    try (RawCaller caller = connect(0)) {
      sendGets(caller, requests);
      awaitWork();
    }
    checkEnded();
  }

  @Test(dataProvider = "fewRequests", timeOut = TIMEOUT_MS)
  public void fewRequestsOfCallerThatLeftAreEnded(int requests) throws Exception {
    pipelinedRequestsOfCallerThatLeftAreEnded(requests);
  }

  // GONE: a request went on after its caller had left while the body of the next one waited for it.
  @Test(timeOut = TIMEOUT_MS)
  public void requestBeforeIncompleteBodyOfCallerThatLeftIsEnded() throws Exception {
    startVm(IDS.size());
    try (RawCaller caller = connect(0)) {
      sendGets(caller, 1);
      caller.begin("POST", "/once/x", "post", "Content-Length: 2000\r\n").write("\r\n").write(1000);
      awaitWork();
    }
    checkEnded();
  }

  // GONE: requests that waited for room were sent on after their caller had left.
  @Test(timeOut = TIMEOUT_MS)
  public void waitingRequestsOfCallerThatLeftAreNotSent() throws Exception {
    startVm(1);
    try (RawCaller caller = connect(0)) {
      sendGets(caller, 60, "Deadline-Ms: 900\r\n");
      awaitWork();
    }
    checkEnded();
  }

  // A caller that pipelines more than is read ahead still leaves unnoticed until its time limit.
  @Test(timeOut = TIMEOUT_MS)
  public void requestsOfCallerThatSentMoreThanIsReadAheadEndAtTheirTimeLimit() throws Exception {
    startVm(IDS.size());
    try (RawCaller caller = connect(0)) {
      sendGets(caller, 1000, "Filler: " + "x".repeat(200) + "\r\n");
      awaitWork();
    }
    TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
    assertThat(upstream.working()).isZero();
  }

  // GONE: relayed requests went on at the second VM after their caller had left the first one.
  @Test(timeOut = TIMEOUT_MS)
  public void relayedRequestsOfCallerThatLeftAreEnded() throws Exception {
    try (LinkedTestCluster linked = new LinkedTestCluster(2)) {
      for (String id : LinkedTestCluster.PLAIN) {
        linked.cluster().upstream(id).setServiceTimeMs(WATCHED_MS);
      }
      int cutVm = (linked.leader() + 1) % 2;
      linked.setLinks(cutVm, TcpLinkStandIn.State.RESET);
      EntryTestCluster.await(
          "cut off",
          () -> {
            linked.cluster().get(cutVm, "/safe/x", "cut" + System.nanoTime());
            return linked.isCutOff(cutVm);
          });
      int otherVm = 1 - cutVm;
      EntryTestCluster.await("no requests", () -> requests(linked, otherVm) == 0);
      try (RawCaller caller = new RawCaller(linked.cluster().settings(cutVm).callers())) {
        sendGets(caller, 20);
        EntryTestCluster.await("relayed", () -> requests(linked, otherVm) > 10);
      }
      TimeUnit.MILLISECONDS.sleep(LEFT_MS);
      assertThat(requests(linked, otherVm)).isZero();
    }
  }

  private static int requests(LinkedTestCluster linked, int vm) {
    String metrics = linked.cluster().metrics(vm);
    return metrics
        .lines()
        .filter(line -> line.startsWith("foxtailford_calls "))
        .mapToInt(line -> (int) Double.parseDouble(line.substring(line.indexOf(' ') + 1)))
        .sum();
  }

  private void awaitWork() throws InterruptedException {
    EntryTestCluster.await("work", () -> upstream.working() > 0);
    TimeUnit.MILLISECONDS.sleep(STAY_MS);
  }

  /** Checks what goes on from half a second after the caller has closed its connection. */
  private void checkEnded() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(LEFT_MS);
    assertThat(upstream.working()).as("requests that are worked on").isZero();
    int arrived = upstream.arrivedAtMs().size();
    TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
    assertThat(upstream.arrivedAtMs()).as("requests that arrived").hasSize(arrived);
  }
}
