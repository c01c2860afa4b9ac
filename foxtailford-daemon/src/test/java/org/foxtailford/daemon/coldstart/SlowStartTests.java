package org.foxtailford.daemon.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.foxtailford.core.result.ResultCode;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that several entry VMs at full load never exceed the concurrency limit of a cold upstream,
 * across restarts of the upstream and changes of the leader and of the gate holder. Stand-in
 * upstreams count the requests beyond their limit.
 */
public class SlowStartTests {

  private static final int ENTRY_VMS = 4;
  private static final int COLD_START_MS = 12_000;
  private static final int EVIDENCE_REFRESH_MS =
      GateExchange.REFRESH_ROUNDS * SlowStartSimulation.ROUND_MS;
  private static final int WITHIN_COLD_START_MS = 3_500;

  /** Seeds of the simulation, which determine delays, losses and clock offsets. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  private static SlowStartSimulation loadedSimulation(boolean guarded, long seed) {
    SlowStartSimulation simulation = new SlowStartSimulation(ENTRY_VMS, guarded, seed);
    simulation.startLoad();
    return simulation;
  }

  @Test(dataProvider = "seeds")
  public void unannouncedRestartStaysWithinColdStartLimit(long seed) {
    SlowStartSimulation simulation = loadedSimulation(true, seed);
    simulation.run(COLD_START_MS);
    long warmRuns = simulation.owner().warmRuns();
    long coldRuns = simulation.owner().coldRuns();
    assertThat(warmRuns).isPositive();
    simulation.owner().restart();
    simulation.run(COLD_START_MS);
    assertThat(simulation.excessColdRequests()).isZero();
    assertThat(simulation.owner().coldRuns()).isGreaterThan(coldRuns);
    assertThat(simulation.owner().warmRuns()).isGreaterThan(warmRuns);
  }

  @Test(dataProvider = "seeds")
  public void changeOfGateHolderStaysWithinColdStartLimit(long seed) {
    SlowStartSimulation simulation = loadedSimulation(true, seed);
    simulation.run(WITHIN_COLD_START_MS);
    simulation.dropHolder();
    simulation.run(COLD_START_MS - WITHIN_COLD_START_MS);
    assertThat(simulation.excessColdRequests()).isZero();
    assertThat(simulation.owner().coldSenders()).hasSize(2);
  }

  @Test(dataProvider = "seeds")
  public void changeOfLeaderStaysWithinColdStartLimit(long seed) {
    SlowStartSimulation simulation = loadedSimulation(true, seed);
    simulation.run(WITHIN_COLD_START_MS);
    simulation.loseLeader();
    simulation.dropHolder();
    simulation.run(COLD_START_MS - WITHIN_COLD_START_MS);
    assertThat(simulation.excessColdRequests()).isZero();
    assertThat(simulation.owner().coldSenders()).hasSize(2);
  }

  @Test(dataProvider = "seeds")
  public void combinedFaultsStayWithinColdStartLimit(long seed) {
    SlowStartSimulation simulation = loadedSimulation(true, seed);
    Random random = new Random(seed);
    for (int i = 0; i < 12; i++) {
      simulation.run(500 + random.nextInt(3000));
      switch (random.nextInt(4)) {
        case 0 -> simulation.owner().restart();
        case 1 -> simulation.dropHolder();
        case 2 -> simulation.listAllVms();
        default -> simulation.loseLeader();
      }
    }
    assertThat(simulation.excessColdRequests()).isZero();
    assertThat(simulation.resultCount(ResultCode.OK)).isPositive();
  }

  @Test
  public void everyVmLearnsThatUpstreamIsWarmDespiteMessageLoss() {
    SlowStartSimulation simulation = loadedSimulation(true, 4);
    simulation.run(COLD_START_MS + 2 * EVIDENCE_REFRESH_MS);
    long warmRuns = simulation.owner().warmRuns();
    simulation.vms().forEach(vm -> vm.results().clear());
    simulation.run(1000);
    assertThat(simulation.owner().warmRuns()).isGreaterThan(warmRuns);
    assertThat(simulation.resultCount(ResultCode.UPSTREAM_COLD)).isZero();
  }

  @Test
  public void sameLoadWithoutGateExceedsColdStartLimit() {
    SlowStartSimulation simulation = loadedSimulation(false, 1);
    simulation.run(COLD_START_MS);
    assertThat(simulation.excessColdRequests()).isPositive();
  }
}
