package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/**
 * Checks over many random schedules of faults that a key never has two owners at once, for example
 * by a delayed grant, a slow clock or a former leader that still renews grants.
 */
public class OwnershipScheduleTests {

  private static final RangeTiming TIMING = new RangeTiming(3000, 800, 300, 700, 3000, 100);
  private static final int SCHEDULES = Integer.getInteger("foxtailford.schedules", 300);

  @Test
  public void noKeyHasTwoOwnersAndFencesIncrease() {
    int ownedSamples = 0;
    for (int seed = 0; seed < SCHEDULES; seed++) {
      OwnershipSchedule schedule = new OwnershipSchedule(seed, TIMING, RangeTiming.MAX_CLOCK_DRIFT);
      assertThat(schedule.simulate()).as("seed %d", seed).isEmpty();
      ownedSamples += schedule.ownedSamples();
    }
    assertThat(ownedSamples / SCHEDULES)
        .as("sampled keys with an owner, per schedule")
        .isGreaterThan(64 * 44 / 2);
  }

  @Test
  public void schedulesDetectClocksThatRunSlowerThanAssumed() {
    int failingSeed = -1;
    for (int seed = 0; seed < 300 && failingSeed < 0; seed++) {
      failingSeed = new OwnershipSchedule(seed, TIMING, 0.5).simulate().isEmpty() ? -1 : seed;
    }
    assertThat(failingSeed).isGreaterThanOrEqualTo(0);
  }
}
