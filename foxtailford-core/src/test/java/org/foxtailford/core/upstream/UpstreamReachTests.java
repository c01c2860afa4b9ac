package org.foxtailford.core.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests what is relayed by a VM that reaches few upstreams, and replays a cut of some VMs. */
public class UpstreamReachTests {

  private static final Map<String, Integer> SLOTS = Map.of("u1", 4, "u2", 4, "u3", 4);

  private long nowMs;
  private UpstreamReach reach;

  @BeforeMethod
  public void begin() {
    nowMs = 10_000;
    reach = new UpstreamReach(() -> nowMs);
  }

  private static boolean mayRelay(
      UpstreamReach reach, String subject, Map<String, Integer> slotsByUpstream) {
    return reach.mayRelay(
        subject,
        () ->
            slotsByUpstream.entrySet().stream()
                .filter(upstream -> reach.isUnreached(upstream.getKey()))
                .mapToInt(Map.Entry::getValue)
                .sum());
  }

  @Test
  public void nothingIsRelayedWhileAllUpstreamsAreReached() {
    assertThat(mayRelay(reach, "s", SLOTS)).isFalse();
    reach.recordFailure("u9");
    assertThat(mayRelay(reach, "s", SLOTS)).as("u9 may not serve it").isFalse();
    reach.recordFailure("u1");
    reach.recordContact("u1");
    assertThat(mayRelay(reach, "s", SLOTS)).isFalse();
  }

  // An upstream that no VM reaches must not cost a relay for each request.
  @Test
  public void trialsOfAnUpstreamThatNobodyReachesBecomeRare() {
    reach.recordFailure("u1");
    int trials = 0;
    for (int i = 0; i < 1000; i++) {
      if (mayRelay(reach, "u1", SLOTS)) {
        trials++;
        reach.recordRelayed("u1");
        assertThat(mayRelay(reach, "u1", SLOTS)).as("second trial").isFalse();
        reach.recordRelayEnd("u1", false);
      }
      nowMs += 10;
    }
    assertThat(trials).isBetween(5, 8);
  }

  // A peer that is cut off from all upstreams made a request's owner look unreached by all VMs.
  @Test
  public void refusalOfACutOffPeerSaysNothingOfTheSubject() {
    reach.recordFailure("u1");
    for (int peer = 0; peer < 5; peer++) {
      assertThat(mayRelay(reach, "u1", SLOTS)).as("trial at peer %d", peer).isTrue();
      reach.recordRelayed("u1");
      reach.recordRelayWithoutOutcome("u1");
    }
    reach.recordRelayed("u1");
    reach.recordRelayEnd("u1", false);
    assertThat(mayRelay(reach, "u1", SLOTS)).as("after a refusal for another reason").isFalse();
  }

  @Test
  public void noMoreIsRelayedThanTheUnreachedUpstreamsCouldRun() {
    reach.recordFailure("u1");
    reach.recordFailure("u2");
    reach.recordRelayed("s");
    reach.recordRelayEnd("s", true);
    int relayed = 0;
    while (mayRelay(reach, "s", SLOTS)) {
      reach.recordRelayed("s");
      relayed++;
    }
    assertThat(relayed).isEqualTo(8);
    nowMs += 2000;
    assertThat(reach.isProven("s")).isFalse();
  }

  @Test
  public void upstreamsThatAreNoLongerKnownAreForgotten() {
    reach.recordFailure("u1");
    reach.retain(Set.of("u2"));
    assertThat(reach.hasUnreached()).isFalse();
  }

  // On a day where 4 of 9 VMs lost most upstreams for 12 s, 0.67 to 0.75 were served meanwhile.
  @Test
  public void requestsOfVmsThatLoseMostUpstreamsAreServedByOthers() {
    double without = new Replay(false).servedShare();
    double with = new Replay(true).servedShare();
    assertThat(without).as("without relays").isLessThan(0.8);
    assertThat(with).as("with relays").isGreaterThan(0.95);
  }

  /** A cut of 12 s at 4 of 9 VMs, in steps of 10 ms; what finds no free upstream is lost. */
  private final class Replay {

    private static final int VMS = 9;
    private static final int CUT_VMS = 4;
    private static final int UPSTREAMS = 12;
    private static final int REACHED_BY_CUT = 2;
    private static final int UPSTREAM_SLOTS = 4;
    private static final long WORK_MS = 100;
    private static final double REQUESTS_PER_STEP = 0.32;

    private final boolean relays;
    private final Random random = new Random(7);
    private final List<UpstreamReach> reaches = new ArrayList<>();
    private final Map<String, Integer> slots = new HashMap<>();
    private final int[] running = new int[UPSTREAMS];
    private final List<Run> runs = new ArrayList<>();
    private int sent;
    private int served;

    private record Run(int upstream, int relayedBy, long endMs) {}

    Replay(boolean relays) {
      this.relays = relays;
      for (int u = 0; u < UPSTREAMS; u++) {
        slots.put("u" + u, UPSTREAM_SLOTS);
      }
      for (int vm = 0; vm < VMS; vm++) {
        UpstreamReach state = new UpstreamReach(() -> nowMs);
        reaches.add(state);
        for (int u = vm < CUT_VMS ? REACHED_BY_CUT : UPSTREAMS; u < UPSTREAMS; u++) {
          state.recordFailure("u" + u);
        }
      }
    }

    double servedShare() {
      for (long endMs = nowMs + 12_000; nowMs < endMs; nowMs += 10) {
        runs.removeIf(this::endIfDue);
        for (int vm = 0; vm < VMS; vm++) {
          if (random.nextDouble() < REQUESTS_PER_STEP) {
            sent++;
            served += serve(vm) ? 1 : 0;
          }
        }
      }
      return (double) served / sent;
    }

    private boolean endIfDue(Run run) {
      boolean due = nowMs >= run.endMs();
      if (due) {
        running[run.upstream()]--;
        if (run.relayedBy() >= 0) {
          reaches.get(run.relayedBy()).recordRelayEnd("s", true);
        }
      }
      return due;
    }

    private boolean serve(int vm) {
      if (run(vm, -1)) {
        return true;
      }
      UpstreamReach own = reaches.get(vm);
      for (int asked = 0; relays && asked < 3 && mayRelay(own, "s", slots); asked++) {
        own.recordRelayed("s");
        if (run((vm + 1 + random.nextInt(VMS - 1)) % VMS, vm)) {
          return true;
        }
        own.recordRelayEnd("s", false);
      }
      return false;
    }

    private boolean run(int vm, int relayedBy) {
      int first = random.nextInt(UPSTREAMS);
      for (int i = 0; i < UPSTREAMS; i++) {
        int u = (first + i) % UPSTREAMS;
        if (!reaches.get(vm).isUnreached("u" + u) && running[u] < UPSTREAM_SLOTS) {
          running[u]++;
          runs.add(new Run(u, relayedBy, nowMs + WORK_MS));
          return true;
        }
      }
      return false;
    }
  }
}
