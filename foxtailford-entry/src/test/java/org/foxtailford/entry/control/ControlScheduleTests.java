package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** No key has two owners over random schedules of faults that the whole control goes through. */
public class ControlScheduleTests {

  private static final long FIRST_SEED = Long.getLong("foxtailford.firstSeed", 0);
  private static final int SCHEDULES = Integer.getInteger("foxtailford.controlSchedules", 120);

  /** Share of the key time without an owner that the faults account for, at most. */
  private static final double MAX_UNOWNED_SHARE = 0.5;

  @Test
  public void noKeyHasTwoOwners() {
    double unownedShare = 0;
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
      ControlWorld world = new ControlSchedule(seed).run();
      assertThat(world.holders().violations()).as("seed %d", seed).isEmpty();
      unownedShare += world.holders().drainUnownedShare() / SCHEDULES;
    }
    assertThat(unownedShare).isLessThan(MAX_UNOWNED_SHARE);
  }
}
