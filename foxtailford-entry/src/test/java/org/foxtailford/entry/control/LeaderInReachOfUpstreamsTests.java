package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.testng.annotations.Test;

/** The leader, which grants keys, is a VM that reaches the upstreams, if there is one. */
public class LeaderInReachOfUpstreamsTests {

  private static final int VMS = 9;

  /** Time in which grants that are not renewed expire, in milliseconds. */
  private static final long GRANT_TTL_MS = 3000;

  /** Time in which a cut is noticed, at most, and keys are granted again, in milliseconds. */
  private static final long RESERVE_MS = 1300;

  @Test
  public void leaderThatIsCutOffIsReplacedBeforeItsGrantsExpire() {
    ControlWorld world = new ControlWorld(VMS, 1);
    ControlWorld.Vm before = world.leader();
    before.setCutOffFromUpstreams(true);
    world.runFor(GRANT_TTL_MS - RESERVE_MS);
    assertThat(world.leader()).isNotSameAs(before);
  }

  @Test
  public void cutOffVmsDoNotLeadWhileAnotherCan() {
    for (long seed = 0; seed < 40; seed++) {
      ControlWorld world = new ControlWorld(VMS, seed);
      Random random = new Random(seed);
      world.leader().setCutOffFromUpstreams(true);
      for (int i = 0; i < 5; i++) {
        world.vms().get(random.nextInt(VMS - 1)).setCutOffFromUpstreams(true);
      }
      world.vms().get(VMS - 1).setCutOffFromUpstreams(false);
      world.runFor(2 * GRANT_TTL_MS);
      assertThat(world.leader().isCutOffFromUpstreams()).as("seed %d", seed).isFalse();
    }
  }

  @Test
  public void leaderStaysIfAllAreCutOff() {
    ControlWorld world = new ControlWorld(VMS, 2);
    world.vms().forEach(vm -> vm.setCutOffFromUpstreams(true));
    world.runFor(4 * GRANT_TTL_MS);
    assertThat(world.hasLeader()).isTrue();
    world.vms().forEach(vm -> vm.setCutOffFromUpstreams(false));
    world.runFor(GRANT_TTL_MS);
    assertThat(world.hasLeader()).isTrue();
  }
}
