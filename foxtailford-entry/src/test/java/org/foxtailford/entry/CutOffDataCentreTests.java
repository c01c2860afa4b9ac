package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.TcpLinkStandIn;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Callers of entry VMs that were cut off from all upstreams together with most of their data centre
 * are served through another data centre.
 */
public class CutOffDataCentreTests {

  private static final int TIMEOUT_MS = 120_000;

  /** More than a request is sent to in vain before it is refused. */
  private static final int CUT_VMS = 10;

  private static final int SOUND_VMS = 2;

  /** Documented time after the beginning of a cut from which callers have to be served again. */
  private static final long CONTACT_MS = 3000;

  /** Documented share of the others' served requests that a cut VM has to serve. */
  private static final double SERVED_SHARE = 2.0 / 3;

  private static final long WATCHED_MS = 5000;

  /** Interval between two requests to a VM, long enough for it to forget a single refusal. */
  private static final long INTERVAL_MS = 150;

  private record Served(double atCut, double atOthers) {}

  @DataProvider
  public Object[][] cuts() {
    return new Object[][] {{TcpLinkStandIn.State.SILENT}, {TcpLinkStandIn.State.RESET}};
  }

  // RECOVER: requests were relayed only to VMs nearby that were cut off as well.
  @Test(dataProvider = "cuts", timeOut = TIMEOUT_MS)
  public void callersAreServedThoughMostPeersAreCutOffToo(TcpLinkStandIn.State cut)
      throws Exception {
    List<String> dataCentres = new ArrayList<>(Collections.nCopies(CUT_VMS, "dc"));
    dataCentres.addAll(Collections.nCopies(SOUND_VMS, "dc-2"));
    try (LinkedTestCluster cluster = new LinkedTestCluster(dataCentres)) {
      runFor(1500, cluster); // until all VMs report to the leader and have connections
      for (int vm = 0; vm < CUT_VMS; vm++) {
        cluster.setLinks(vm, cut);
      }
      runFor(CONTACT_MS, cluster);
      Served during = runFor(WATCHED_MS, cluster);
      System.out.printf("most of a data centre cut off, %s: served %s%n", cut, during);
      assertThat(during.atOthers()).as("served at other VMs").isGreaterThan(0.9);
      assertThat(during.atCut())
          .as("served at the cut VMs")
          .isGreaterThanOrEqualTo(SERVED_SHARE * during.atOthers());
      for (int vm = 0; vm < CUT_VMS; vm++) {
        cluster.setLinks(vm, TcpLinkStandIn.State.SOUND);
      }
      runFor(CONTACT_MS, cluster);
      assertThat(runFor(1000, cluster).atCut()).as("after the cut").isGreaterThan(0.9);
      Map<String, Integer> runs = cluster.runCounts();
      runs.keySet().removeIf(request -> !request.startsWith("once"));
      assertThat(runs.values()).isNotEmpty().allMatch(count -> count == 1);
    }
  }

  /** Sends requests of each kind in turn to each VM. */
  private static Served runFor(long durationMs, LinkedTestCluster cluster)
      throws InterruptedException {
    List<CompletableFuture<HttpAnswer>> atCut = new ArrayList<>();
    List<CompletableFuture<HttpAnswer>> atOthers = new ArrayList<>();
    long untilMs = System.currentTimeMillis() + durationMs;
    for (int i = 0; System.currentTimeMillis() < untilMs; i++) {
      for (int vm = 0; vm < CUT_VMS + SOUND_VMS; vm++) {
        (vm < CUT_VMS ? atCut : atOthers).add(send(vm, (i + vm) % 3, cluster));
      }
      TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
    }
    return new Served(servedShare(atCut), servedShare(atOthers));
  }

  private static CompletableFuture<HttpAnswer> send(int vm, int kind, LinkedTestCluster cluster) {
    String id = System.nanoTime() + "-" + vm;
    return switch (kind) {
      case 0 -> cluster.send(vm, HttpMethod.GET, "/safe/x", "safe" + id);
      case 1 -> cluster.send(vm, HttpMethod.POST, "/once/x", "once" + id);
      default -> cluster.send(vm, HttpMethod.GET, "/keyed/x", "keyed" + id);
    };
  }

  private static double servedShare(List<CompletableFuture<HttpAnswer>> answers) {
    long served =
        answers.stream()
            .map(answer -> answer.handle((a, failure) -> failure == null && a.status() == 200))
            .filter(CompletableFuture::join)
            .count();
    return (double) served / answers.size();
  }
}
