package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.testng.annotations.Test;

/** Named faults that the explorer found, each provoked on its own. */
public class LeaderTests {

  private static final long LATE_RENEWAL_SEED = 9_073_822;
  private static final long STEADY_MS = 3000;
  private static final long RECOVERY_TARGET_MS = 2000;
  private static final int RENEW_MS = 200;
  private static final int LEASE_MS = 800;
  private static final int GRANT_MS = 700;
  private static final int MARGIN_PPM = 10_000;
  private static final long SLOW_ANSWER_MS = 270;
  private static final long LOST_FROM_MS = 380;
  private static final long LOST_ANSWER_MS = 120;

  private final SplittableRandom random = new SplittableRandom(5);
  private final Trace trace = new Trace(false);

  private OwnershipSystem newSystem(int candidates) {
    OwnershipSystem system =
        new OwnershipSystem(candidates, 3, 6, random.split(), new StopsWithItsLease(), trace);
    system.begin();
    return system;
  }

  @Test
  public void anEpochThatRevivesAfterALapseIssuesNoFenceTwice() {
    for (int offsetMs = 0; offsetMs < RENEW_MS; offsetMs += 10) {
      OwnershipSystem system = newSystem(1);
      FaultInjector injector = new FaultInjector(system, random, trace);
      long atMs = STEADY_MS + offsetMs;
      injector.pause(system.table(), atMs, SLOW_ANSWER_MS);
      injector.cut(
          List.of(system.table()), system.candidates(), atMs + LOST_FROM_MS, LOST_ANSWER_MS);
      system.queue().runUntil(atMs + RECOVERY_TARGET_MS);
      system.checker().checkAllOwned();
      assertThat(system.checker().violations()).isEmpty();
    }
  }

  @Test
  public void aRenewalThatTookEffectLateKeepsTheLease() {
    ScheduleResult result =
        new OwnershipExplorer(SimulationVariant.unchanged()).run(LATE_RENEWAL_SEED, false);
    assertThat(result.violations()).isEmpty();
  }

  private static final class StopsWithItsLease implements SimulationVariant {

    @Override
    public OwnershipTiming timing() {
      return new OwnershipTiming(LEASE_MS, RENEW_MS, GRANT_MS, MARGIN_PPM, 0);
    }
  }
}
