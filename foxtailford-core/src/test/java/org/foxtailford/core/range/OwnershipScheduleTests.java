package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks over many random schedules of faults that a key never has two owners at once, for example
 * by a delayed grant, a slow clock or a former leader that still renews grants.
 */
public class OwnershipScheduleTests {

  private static final RangeTiming TIMING = new RangeTiming(3000, 800, 300, 700, 3000, 100);
  private static final int SCHEDULES = Integer.getInteger("foxtailford.schedules", 300);
  private static final int DRILL_SCHEDULES = Integer.getInteger("foxtailford.drills", 10_000);

  private static OwnershipSchedule newSchedule(int seed, OwnershipSchedule.StoreDrill drill) {
    return new OwnershipSchedule(seed, TIMING, RangeTiming.MAX_CLOCK_DRIFT, drill);
  }

  @Test
  public void noKeyHasTwoOwnersAndFencesIncrease() {
    int ownedSamples = 0;
    for (int seed = 0; seed < SCHEDULES; seed++) {
      OwnershipSchedule schedule = newSchedule(seed, OwnershipSchedule.StoreDrill.NONE);
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
      failingSeed =
          new OwnershipSchedule(seed, TIMING, 0.5, OwnershipSchedule.StoreDrill.NONE)
                  .simulate()
                  .isEmpty()
              ? -1
              : seed;
    }
    assertThat(failingSeed).isGreaterThanOrEqualTo(0);
  }

  @Test
  public void noKeyHasTwoOwnersWhenTheStoreIsRestoredFromOlderCopies() {
    int ownedSamples = 0;
    for (int seed = 0; seed < DRILL_SCHEDULES; seed++) {
      OwnershipSchedule schedule = newSchedule(seed, OwnershipSchedule.StoreDrill.GUARDED);
      assertThat(schedule.simulate()).as("seed %d", seed).isEmpty();
      ownedSamples += schedule.ownedSamples();
    }
    assertThat(ownedSamples / DRILL_SCHEDULES)
        .as("sampled keys with an owner, per schedule")
        .isGreaterThan(64 * 44 / 5);
  }

  @DataProvider
  public Object[][] missingGuards() {
    return new Object[][] {
      {OwnershipSchedule.StoreDrill.MAP_TRUSTED}, {OwnershipSchedule.StoreDrill.NOTHING_HELD_BACK}
    };
  }

  @Test(dataProvider = "missingGuards")
  public void schedulesDetectAMissingGuardAgainstARestoredStore(
      OwnershipSchedule.StoreDrill missingGuard) {
    int failingSeed = -1;
    for (int seed = 0; seed < DRILL_SCHEDULES && failingSeed < 0; seed++) {
      failingSeed = newSchedule(seed, missingGuard).simulate().isEmpty() ? -1 : seed;
    }
    assertThat(failingSeed).isGreaterThanOrEqualTo(0);
  }
}
