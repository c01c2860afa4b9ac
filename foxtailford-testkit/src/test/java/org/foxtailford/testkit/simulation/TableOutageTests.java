package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class TableOutageTests {

  private static final long STEADY_MS = 3000;
  private static final long OUTAGE_MS = 60_000;
  private static final long TARGET_MS = 2000;
  private static final long SAMPLE_MS = 100;

  private OwnershipSystem system;
  private FaultInjector injector;

  @BeforeMethod
  public void startSystem() {
    SplittableRandom random = new SplittableRandom(11);
    Trace trace = new Trace(false);
    system = new OwnershipSystem(3, 3, 6, random.split(), SimulationVariant.unchanged(), trace);
    injector = new FaultInjector(system, random, trace);
    system.begin();
    system.queue().runUntil(STEADY_MS);
  }

  private void sampleUntil(long untilMs) {
    while (system.queue().nowMs() < untilMs) {
      system.queue().runUntil(system.queue().nowMs() + SAMPLE_MS);
      system.checker().checkHoldings();
    }
  }

  @Test
  public void theLeaderServesThroughALongOutage() {
    injector.lose(system.table(), STEADY_MS, OUTAGE_MS);
    sampleUntil(STEADY_MS + OUTAGE_MS + STEADY_MS);
    system.checker().checkAllOwned();
    assertThat(system.checker().violations()).isEmpty();
  }

  @Test
  public void slicesOfALostUpstreamMoveDuringAnOutage() {
    injector.lose(system.table(), STEADY_MS, OUTAGE_MS);
    long lostMs = STEADY_MS + OUTAGE_MS / 2;
    injector.lose(system.upstreams().get(1), lostMs, OUTAGE_MS);
    sampleUntil(lostMs + TARGET_MS);
    system.checker().checkAllOwned();
    assertThat(system.checker().violations()).isEmpty();
  }

  @Test
  public void anotherCandidateTakesOverFromALeaderThatOnlyLostTheTable() {
    List<SimulatedCandidate> leaders =
        system.candidates().stream().filter(SimulatedCandidate::leads).toList();
    assertThat(leaders).hasSize(1);
    injector.cutBothWays(List.of(system.table()), leaders, STEADY_MS, OUTAGE_MS);
    sampleUntil(STEADY_MS + OUTAGE_MS / 2);
    assertThat(leaders.get(0).leads()).isFalse();
    assertThat(system.candidates()).anyMatch(SimulatedCandidate::leads);
    system.checker().checkAllOwned();
    assertThat(system.checker().violations()).isEmpty();
  }
}
