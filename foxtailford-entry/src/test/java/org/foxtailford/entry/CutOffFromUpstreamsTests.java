package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.TcpLinkStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Callers of an entry VM that has lost its links to all upstreams are served through others. */
public class CutOffFromUpstreamsTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int VMS = 3;

  /** Documented time after the beginning of a cut from which callers have to be served again. */
  private static final long CONTACT_MS = 3000;

  /** Documented share of the others' served requests that a cut VM has to serve. */
  private static final double SERVED_SHARE = 2.0 / 3;

  private static final long WATCHED_MS = 4000;
  private static final long INTERVAL_MS = 50;
  private static final int BURST = 60;

  private LinkedTestCluster cluster;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new LinkedTestCluster(VMS);
    runFor(1500); // until all VMs report to the leader and have connections
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    cluster.close();
  }

  @DataProvider
  public Object[][] cuts() {
    return new Object[][] {{TcpLinkStandIn.State.SILENT}, {TcpLinkStandIn.State.RESET}};
  }

  // RECOVER: callers of a VM that was cut off from all upstreams were not served.
  @Test(dataProvider = "cuts", timeOut = TIMEOUT_MS)
  public void callersOfACutOffMemberAreServedThroughOthers(TcpLinkStandIn.State cut)
      throws Exception {
    checkServed((cluster.leader() + 1) % VMS, cut);
  }

  // RECOVER: a leader that reached no upstream kept the lead, and all keys were lost.
  @Test(dataProvider = "cuts", timeOut = TIMEOUT_MS)
  public void keysAreServedThoughTheLeaderIsCutOff(TcpLinkStandIn.State cut) throws Exception {
    checkServed(cluster.leader(), cut);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void callersAreServedOverConnectionsThatLiveOn() throws Exception {
    checkServed((cluster.leader() + 1) % VMS, TcpLinkStandIn.State.REFUSING);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void keysAreServedThoughTheLeaderCanOpenNoConnection() throws Exception {
    checkServed(cluster.leader(), TcpLinkStandIn.State.REFUSING);
  }

  // Connections that had lived on at first were used on and on after they had fallen silent.
  @Test(timeOut = TIMEOUT_MS)
  public void callersAreServedIfConnectionsThatLivedOnFallSilent() throws Exception {
    int cutVm = (cluster.leader() + 1) % VMS;
    cluster.setLinks(cutVm, TcpLinkStandIn.State.REFUSING);
    EntryTestCluster.await("noticed", () -> isNoticedAfterBurst(cutVm));
    checkServed(cutVm, TcpLinkStandIn.State.SILENT);
  }

  /** Sends more requests at once than there are connections. */
  private boolean isNoticedAfterBurst(int vm) {
    for (int i = 0; i < BURST; i++) {
      cluster.send(vm, HttpMethod.GET, "/safe/x", id());
    }
    LinkedTestCluster.sleep(200);
    return cluster.isCutOff(vm);
  }

  private void checkServed(int cutVm, TcpLinkStandIn.State cut) throws Exception {
    cluster.setLinks(cutVm, cut);
    runFor(CONTACT_MS);
    Map<Integer, List<CompletableFuture<HttpAnswer>>> answers = runFor(WATCHED_MS);
    double servedThere = servedShare(answers.get(cutVm));
    double servedElsewhere = servedShare(answers.get((cutVm + 1) % VMS));
    assertThat(servedElsewhere).as("served at another VM").isGreaterThan(0.9);
    assertThat(servedThere)
        .as("served at the cut VM")
        .isGreaterThanOrEqualTo(SERVED_SHARE * servedElsewhere);
    cluster.setLinks(cutVm, TcpLinkStandIn.State.SOUND);
    runFor(CONTACT_MS);
    assertThat(servedShare(runFor(1000).get(cutVm))).as("after the cut").isGreaterThan(0.9);
    assertRunOnce();
  }

  private void assertRunOnce() {
    Map<String, Integer> runs = cluster.runCounts();
    runs.keySet().removeIf(request -> !request.startsWith("once"));
    assertThat(runs.values()).isNotEmpty().allMatch(count -> count == 1);
  }

  /** Sends one request of each kind to each VM again and again; returns the answers by VM. */
  private Map<Integer, List<CompletableFuture<HttpAnswer>>> runFor(long durationMs)
      throws InterruptedException {
    Map<Integer, List<CompletableFuture<HttpAnswer>>> answers = new HashMap<>();
    long untilMs = System.currentTimeMillis() + durationMs;
    while (System.currentTimeMillis() < untilMs) {
      for (int vm = 0; vm < VMS; vm++) {
        List<CompletableFuture<HttpAnswer>> sent =
            answers.computeIfAbsent(vm, number -> new ArrayList<>());
        sent.add(cluster.send(vm, HttpMethod.GET, "/safe/x", id()));
        sent.add(cluster.send(vm, HttpMethod.POST, "/once/x", "once" + id()));
        sent.add(cluster.send(vm, HttpMethod.GET, "/keyed/x", id()));
      }
      TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
    }
    return answers;
  }

  private static double servedShare(List<CompletableFuture<HttpAnswer>> answers) {
    long served =
        answers.stream()
            .map(answer -> answer.handle((a, failure) -> failure == null && a.status() == 200))
            .filter(CompletableFuture::join)
            .count();
    return (double) served / answers.size();
  }

  private static String id() {
    return "r" + System.nanoTime();
  }
}
