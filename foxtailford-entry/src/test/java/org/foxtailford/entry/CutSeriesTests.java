package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.TcpLinkStandIn;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * What always holds, in drawn series of cuts that overlap and the end of an entry VM that others
 * rely on. {@code -Dfoxtailford.soak.first} and {@code .seeds} set the seeds.
 */
public class CutSeriesTests {

  private static final int TIMEOUT_MS = 120_000;
  private static final int VMS = 4;
  private static final int STEPS = 8;
  private static final long INTERVAL_MS = 20;

  /** Time after the last cut in which everything is served again, in milliseconds. */
  private static final long RECOVERY_MS = 4000;

  private record Sent(
      int vm, String id, String uri, boolean once, CompletableFuture<HttpAnswer> answer) {}

  @DataProvider
  public Object[][] seeds() {
    int first = Integer.getInteger("foxtailford.soak.first", 1);
    Object[][] seeds = new Object[Integer.getInteger("foxtailford.soak.seeds", 2)][];
    for (int i = 0; i < seeds.length; i++) {
      seeds[i] = new Object[] {first + i};
    }
    return seeds;
  }

  @Test(dataProvider = "seeds", timeOut = TIMEOUT_MS)
  public void answersAndRunsAreRightInSeriesOfCuts(int seed) throws Exception {
    Random random = new Random(seed);
    List<Sent> sent = new ArrayList<>();
    try (LinkedTestCluster cluster = new LinkedTestCluster(VMS)) {
      int ended = random.nextInt(VMS);
      int endStep = random.nextInt(2 * STEPS); // in half of the series no VM ends
      for (int step = 0; step < STEPS; step++) {
        if (step == endStep) {
          cluster.end(ended);
        }
        TcpLinkStandIn.State[] states = TcpLinkStandIn.State.values();
        cluster.setLinks(random.nextInt(VMS), states[random.nextInt(states.length)]);
        sendFor(100 + random.nextInt(1500), cluster, sent);
      }
      for (int vm = 0; vm < VMS; vm++) {
        cluster.setLinks(vm, TcpLinkStandIn.State.SOUND);
      }
      sendFor(RECOVERY_MS, cluster, sent);
      check(sent, cluster.runCounts(), seed);
      List<Sent> last = new ArrayList<>();
      sendFor(500, cluster, last);
      List<String> lost = new ArrayList<>();
      for (Sent request : last) {
        boolean ofEndedVm = endStep < STEPS && request.vm() == ended;
        if (!ofEndedVm && statusOf(request) != 200) {
          lost.add("vm-" + (request.vm() + 1) + request.uri() + " " + statusOf(request));
        }
      }
      assertThat(lost).as("seed %d, not served at last", seed).isEmpty();
    }
  }

  private static void sendFor(long durationMs, LinkedTestCluster cluster, List<Sent> sent) {
    long untilMs = System.currentTimeMillis() + durationMs;
    for (int i = 0; System.currentTimeMillis() < untilMs; i++) {
      String id = "r" + System.nanoTime();
      boolean once = i % 3 == 0;
      String uri = (once ? "/once/" : i % 3 == 1 ? "/safe/" : "/keyed/") + id;
      HttpMethod method = once ? HttpMethod.POST : HttpMethod.GET;
      sent.add(new Sent(i % VMS, id, uri, once, cluster.send(i % VMS, method, uri, id)));
      LinkedTestCluster.sleep(INTERVAL_MS);
    }
  }

  private static void check(List<Sent> sent, Map<String, Integer> runs, int seed) {
    for (Sent request : sent) {
      int status = statusOf(request);
      String what = "seed " + seed + ", " + request.uri() + " answered " + status;
      int count = runs.getOrDefault(request.id(), 0);
      if (request.once()) {
        assertThat(count).as(what + ", runs").isLessThanOrEqualTo(status == 503 ? 0 : 1);
      }
      if (status == 200) {
        HttpAnswer answer = request.answer().join();
        assertThat(answer.bodyText()).as(what).contains(request.uri());
        assertThat(answer.headers().get("Response-Signature")).isEqualTo("seal-" + request.id());
        assertThat(answer.headers().names()).noneMatch(name -> name.startsWith("Foxtailford"));
      }
    }
  }

  /** Returns the status of the answer; 0 if the connection ended without one. */
  private static int statusOf(Sent request) {
    return request.answer().handle((a, failure) -> failure == null ? a.status() : 0).join();
  }
}
