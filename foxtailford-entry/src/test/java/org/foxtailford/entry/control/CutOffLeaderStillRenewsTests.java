package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A leader that is cut off goes on renewing what it granted, while the leader after it ends and
 * starts again under its name.
 */
public class CutOffLeaderStillRenewsTests {

  private static final int VMS = 9;
  private static final int UPSTREAMS = 6;
  private static final int SEEDS = 8;

  /** Time in which a vacant leadership is acquired, in milliseconds. */
  private static final long TAKEOVER_MS = 5000;

  /** Time in which all keys are granted anew, whoever led before, in milliseconds. */
  private static final long ALL_GRANTED_MS = 14_000;

  /** Time after which a registration that is not renewed lapses, in milliseconds. */
  private static final long REGISTRATION_MS = 2600;

  /** What ends after the takeover. */
  enum Killed {
    NEW_LEADER,
    ALL_IN_TOUCH
  }

  @DataProvider
  public Object[][] chains() {
    return new Object[][] {
      {false, Killed.NEW_LEADER, 0, 300},
      {false, Killed.ALL_IN_TOUCH, 0, 300},
      {false, Killed.ALL_IN_TOUCH, 0, 1000},
      {true, Killed.NEW_LEADER, 500, 300},
      {true, Killed.ALL_IN_TOUCH, 0, 300},
      {true, Killed.ALL_IN_TOUCH, 500, 1500},
      {true, Killed.ALL_IN_TOUCH, 0, 1500},
    };
  }

  @Test(dataProvider = "chains")
  public void noKeyHasTwoOwnersWhenTheNextLeaderStartsAgain(
      boolean refuses, Killed killed, long killedAfterMs, long startedAfterMs) {
    for (long seed = 0; seed < SEEDS; seed++) {
      ControlWorld world = new ControlWorld(VMS, seed, UPSTREAMS);
      ControlWorld.Vm cutOff = world.leader();
      cutOff.link().setSilent(true);
      String upstream = "u" + seed % UPSTREAMS;
      world.cut(new ControlWorld.Cut(Set.of(cutOff.number()), Set.of(upstream), refuses));
      world.later(REGISTRATION_MS, () -> world.unregister(upstream));
      ControlWorld.Vm next = awaitNextLeader(world, cutOff);
      world.runFor(killedAfterMs);
      List<ControlWorld.Vm> ended = new ArrayList<>();
      if (killed == Killed.NEW_LEADER) {
        ended.add(next);
      } else {
        ended.addAll(world.vms());
        ended.remove(cutOff);
      }
      ended.forEach(ControlWorld.Vm::end);
      world.runFor(startedAfterMs);
      ended.forEach(world::restart);
      world.runFor(ALL_GRANTED_MS);
      assertThat(world.holders().violations()).as("seed %d", seed).isEmpty();
      assertThat(world.holders().areAllOwned()).as("all keys owned, seed %d", seed).isTrue();
    }
  }

  private static ControlWorld.Vm awaitNextLeader(ControlWorld world, ControlWorld.Vm cutOff) {
    long untilMs = world.nowMs() + TAKEOVER_MS;
    while (world.nowMs() < untilMs) {
      for (ControlWorld.Vm vm : world.vms()) {
        if (vm != cutOff && vm.isLeading()) {
          return vm;
        }
      }
      world.runFor(10);
    }
    throw new AssertionError("nobody has taken over");
  }
}
