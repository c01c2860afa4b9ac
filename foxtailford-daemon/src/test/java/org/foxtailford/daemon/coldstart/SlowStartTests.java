package org.foxtailford.daemon.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.foxtailford.core.result.ResultCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Request paths of several entry VMs at full load against stand-in upstreams that count what comes
 * beyond their allowance while they are cold.
 */
public class SlowStartTests {

  private static final int ENTRY_VMS = 4;
  private static final int COLD_START_MS = 12_000;
  private static final int EVIDENCE_REFRESH_MS =
      GateExchange.REFRESH_ROUNDS * SlowStartWorld.ROUND_MS;
  private static final int WITHIN_COLD_START_MS = 3_500;

  /** Seeds of a world: delays, losses and clock offsets. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  private static SlowStartWorld loadedWorld(boolean guarded, long seed) {
    SlowStartWorld world = new SlowStartWorld(ENTRY_VMS, guarded, seed);
    world.startLoad();
    return world;
  }

  @Test(dataProvider = "seeds")
  public void restartWithoutWarningStaysWithinTheAllowance(long seed) {
    SlowStartWorld world = loadedWorld(true, seed);
    world.run(COLD_START_MS);
    long warmRuns = world.owner().warmRuns();
    long coldRuns = world.owner().coldRuns();
    assertThat(warmRuns).isPositive();
    world.owner().restart();
    world.run(COLD_START_MS);
    assertThat(world.overAllowance()).isZero();
    assertThat(world.owner().coldRuns()).isGreaterThan(coldRuns);
    assertThat(world.owner().warmRuns()).isGreaterThan(warmRuns);
  }

  @Test(dataProvider = "seeds")
  public void changeOfTheHolderStaysWithinTheAllowance(long seed) {
    SlowStartWorld world = loadedWorld(true, seed);
    world.run(WITHIN_COLD_START_MS);
    world.dropHolder();
    world.run(COLD_START_MS - WITHIN_COLD_START_MS);
    assertThat(world.overAllowance()).isZero();
    assertThat(world.owner().coldSenders()).hasSize(2);
  }

  @Test(dataProvider = "seeds")
  public void changeOfTheLeaderStaysWithinTheAllowance(long seed) {
    SlowStartWorld world = loadedWorld(true, seed);
    world.run(WITHIN_COLD_START_MS);
    world.loseLeader();
    world.dropHolder();
    world.run(COLD_START_MS - WITHIN_COLD_START_MS);
    assertThat(world.overAllowance()).isZero();
    assertThat(world.owner().coldSenders()).hasSize(2);
  }

  @Test(dataProvider = "seeds")
  public void faultsTogetherStayWithinTheAllowance(long seed) {
    SlowStartWorld world = loadedWorld(true, seed);
    Random random = new Random(seed);
    for (int i = 0; i < 12; i++) {
      world.run(500 + random.nextInt(3000));
      switch (random.nextInt(4)) {
        case 0 -> world.owner().restart();
        case 1 -> world.dropHolder();
        case 2 -> world.listAll();
        default -> world.loseLeader();
      }
    }
    assertThat(world.overAllowance()).isZero();
    assertThat(world.answered(ResultCode.OK)).isPositive();
  }

  @Test
  public void everyVmLearnsThatAnUpstreamIsWarmThoughMessagesAreLost() {
    SlowStartWorld world = loadedWorld(true, 4);
    world.run(COLD_START_MS + 2 * EVIDENCE_REFRESH_MS);
    long warmRuns = world.owner().warmRuns();
    world.vms().forEach(vm -> vm.results().clear());
    world.run(1000);
    assertThat(world.owner().warmRuns()).isGreaterThan(warmRuns);
    assertThat(world.answered(ResultCode.UPSTREAM_COLD)).isZero();
  }

  @Test
  public void withoutTheGateTheSameLoadExceedsTheAllowance() {
    SlowStartWorld world = loadedWorld(false, 1);
    world.run(COLD_START_MS);
    assertThat(world.overAllowance()).isPositive();
  }
}
