package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
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
  private static final List<String> PLAIN = List.of("p1", "p2", "p3", "p4", "p5", "p6");
  private static final List<String> KEYED = List.of("k1", "k2", "k3");

  /** Documented time after the beginning of a cut from which callers have to be served again. */
  private static final long CONTACT_MS = 3000;

  /** Documented share of the others' served requests that a cut VM has to serve. */
  private static final double SERVED_SHARE = 2.0 / 3;

  private static final long WATCHED_MS = 4000;
  private static final long INTERVAL_MS = 50;

  private EntryTestCluster cluster;
  private final Map<Integer, List<TcpLinkStandIn>> links = new HashMap<>();

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    for (String id : PLAIN) {
      cluster.addUpstream(id, "plain");
    }
    for (String id : KEYED) {
      cluster.addUpstream(id, "keyed");
    }
    for (int vm = 0; vm < VMS; vm++) {
      addLinkedVm(vm);
    }
    EntryTestCluster.await("ready", () -> cluster.readiness(2) == 200);
    EntryTestCluster.await("owners", () -> cluster.get(0, "/keyed/x", id()).status() == 200);
    runFor(1500); // until all VMs report to the leader and have connections
  }

  private void addLinkedVm(int vm) throws IOException {
    Map<Integer, Integer> portByTarget = new HashMap<>();
    links.put(vm, new ArrayList<>());
    cluster.addVm(
        "vm-" + (vm + 1),
        vm == 0 ? List.of() : List.of(cluster.settings(0).peers()),
        cluster.storeAddress(),
        new LinkedRows(target -> portByTarget.computeIfAbsent(target, t -> link(vm, t))));
  }

  private int link(int vm, int targetPort) {
    try {
      TcpLinkStandIn link = new TcpLinkStandIn(targetPort);
      links.get(vm).add(link);
      return link.port();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    cluster.close();
    links.values().forEach(all -> all.forEach(TcpLinkStandIn::close));
    links.clear();
  }

  @DataProvider
  public Object[][] cuts() {
    return new Object[][] {{TcpLinkStandIn.State.SILENT}, {TcpLinkStandIn.State.RESET}};
  }

  // RECOVER: callers of a VM that was cut off from all upstreams were not served.
  @Test(dataProvider = "cuts", timeOut = TIMEOUT_MS)
  public void callersOfACutOffMemberAreServedThroughOthers(TcpLinkStandIn.State cut)
      throws Exception {
    checkServed((leader() + 1) % VMS, cut);
  }

  // RECOVER: a leader that reached no upstream kept the lead, and all keys were lost.
  @Test(dataProvider = "cuts", timeOut = TIMEOUT_MS)
  public void keysAreServedThoughTheLeaderIsCutOff(TcpLinkStandIn.State cut) throws Exception {
    checkServed(leader(), cut);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void callersAreServedOverConnectionsThatLiveOn() throws Exception {
    checkServed((leader() + 1) % VMS, TcpLinkStandIn.State.REFUSING);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void keysAreServedThoughTheLeaderCanOpenNoConnection() throws Exception {
    checkServed(leader(), TcpLinkStandIn.State.REFUSING);
  }

  private void checkServed(int cutVm, TcpLinkStandIn.State cut) throws Exception {
    links.get(cutVm).forEach(link -> link.setState(cut));
    runFor(CONTACT_MS);
    Map<Integer, List<CompletableFuture<HttpAnswer>>> answers = runFor(WATCHED_MS);
    double servedThere = servedShare(answers.get(cutVm));
    double servedElsewhere = servedShare(answers.get((cutVm + 1) % VMS));
    assertThat(servedElsewhere).as("served at another VM").isGreaterThan(0.9);
    assertThat(servedThere)
        .as("served at the cut VM")
        .isGreaterThanOrEqualTo(SERVED_SHARE * servedElsewhere);
    links.get(cutVm).forEach(link -> link.setState(TcpLinkStandIn.State.SOUND));
    runFor(CONTACT_MS);
    assertThat(servedShare(runFor(1000).get(cutVm))).as("after the cut").isGreaterThan(0.9);
    assertRunOnce();
  }

  private void assertRunOnce() {
    Map<String, Integer> runs = new HashMap<>();
    for (String id : PLAIN) {
      cluster
          .upstream(id)
          .runCounts()
          .forEach((request, count) -> runs.merge(request, count, Integer::sum));
    }
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
        sent.add(cluster.send(vm, HttpMethod.GET, "/safe/x", id(), ""));
        sent.add(cluster.send(vm, HttpMethod.POST, "/once/x", "once" + id(), "body"));
        sent.add(cluster.send(vm, HttpMethod.GET, "/keyed/x", id(), ""));
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

  private int leader() throws InterruptedException {
    EntryTestCluster.await("one leader", () -> leaders().size() == 1);
    return leaders().get(0);
  }

  private List<Integer> leaders() {
    List<Integer> leaders = new ArrayList<>();
    for (int vm = 0; vm < VMS; vm++) {
      if (cluster.metrics(vm).contains("foxtailford_leads 1")) {
        leaders.add(vm);
      }
    }
    return leaders;
  }

  private static String id() {
    return "r" + System.nanoTime();
  }
}
