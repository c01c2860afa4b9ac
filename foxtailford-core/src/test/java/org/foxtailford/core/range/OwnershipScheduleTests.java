package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** No key has two owners, over many random schedules of faults. */
public class OwnershipScheduleTests {

  private static final RangeTiming TIMING = new RangeTiming(3000, 800, 300, 700, 3000, 100);
  private static final int SCHEDULES = Integer.getInteger("foxtailford.schedules", 300);

  @Test
  public void noKeyHasTwoOwnersAndFencesRise() {
    int served = 0;
    for (int seed = 0; seed < SCHEDULES; seed++) {
      OwnershipSchedule schedule = new OwnershipSchedule(seed, TIMING, RangeTiming.MAX_CLOCK_DRIFT);
      assertThat(schedule.play()).as("seed %d", seed).isEmpty();
      served += schedule.served();
    }
    assertThat(served / SCHEDULES).as("keys found with an owner").isGreaterThan(64 * 44 / 2);
  }

  @Test
  public void schedulesFindClocksThatRunSlowerThanTheLeaderBelieves() {
    int found = -1;
    for (int seed = 0; seed < 300 && found < 0; seed++) {
      found = new OwnershipSchedule(seed, TIMING, 0.5).play().isEmpty() ? -1 : seed;
    }
    assertThat(found).isGreaterThanOrEqualTo(0);
  }
}
