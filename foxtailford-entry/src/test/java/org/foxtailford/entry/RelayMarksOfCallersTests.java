package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import org.foxtailford.testkit.published.UpstreamBehaviour;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Callers' requests that have the field by which entry VMs mark what they relay. */
public class RelayMarksOfCallersTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int MAX_ATTEMPTS = 2;
  private static final List<String> UPSTREAMS = List.of("p1", "p2", "p3", "p4", "p5", "p6");

  private EntryTestCluster cluster;

  @BeforeClass
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    for (String id : UPSTREAMS) {
      cluster.addUpstream(id, "plain").setBehaviour(UpstreamBehaviour.FAILING);
    }
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  @AfterClass(alwaysRun = true)
  public void end() {
    cluster.close();
  }

  @DataProvider
  public Object[][] attempts() {
    return new Object[][] {{"2147483647"}, {"2147483646"}, {"-2147483648"}, {"0"}, {"x"}};
  }

  // BUDGET: the largest number overflowed, and the request ran on more upstreams than allowed.
  @Test(dataProvider = "attempts", timeOut = TIMEOUT_MS)
  public void statedAttemptsDoNotAddToThoseThatTheRouteAllows(String attempts) {
    String id = "marked" + attempts;
    DefaultHttpHeaders mark = new DefaultHttpHeaders();
    mark.set("Foxtailford-Relayed-After", attempts);
    cluster.send(0, HttpMethod.GET, "/safe/x", id, "", 0, mark).join();
    long runs =
        UPSTREAMS.stream()
            .mapToInt(upstream -> cluster.upstream(upstream).runCounts().getOrDefault(id, 0))
            .sum();
    assertThat(runs).isBetween(1L, (long) MAX_ATTEMPTS);
  }
}
