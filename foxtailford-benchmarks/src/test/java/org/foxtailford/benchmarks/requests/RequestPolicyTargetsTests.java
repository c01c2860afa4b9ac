package org.foxtailford.benchmarks.requests;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RequestPolicyTargetsTests {

  private static final int SECONDS = 4;
  private static final long SEED = 5;
  private static final double BUDGET_SHARE = 0.04;

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {
      {CustomerSize.CONSORTIUM, 6},
      {CustomerSize.CONSORTIUM, 100},
      {CustomerSize.CITY, 6},
      {CustomerSize.CITY, 100},
    };
  }

  private RunResult run(CustomerSize size, LoadRun.Fault fault, double load, int upstreamQueue) {
    LoadProfile profile = new LoadProfile(load, SECONDS, upstreamQueue, SEED);
    return new LoadRun(size, PolicyKind.REQUEST_PATH, fault, profile).run();
  }

  @Test(dataProvider = "fleets")
  public void tailUnderStragglersStaysWithinItsTarget(CustomerSize size, int upstreamQueue) {
    RunResult calm = run(size, LoadRun.Fault.NONE, 0.6, upstreamQueue);
    RunResult slow = run(size, LoadRun.Fault.STRAGGLERS, 0.6, upstreamQueue);
    assertThat(slow.p99Micros()).isLessThanOrEqualTo((long) (1.3 * calm.p99Micros()));
    assertThat(slow.extraStarted()).isLessThan(0.05);
    assertThat(slow.refused()).isLessThan(slow.offered() / 100);
  }

  @Test(dataProvider = "fleets")
  public void capacityLeftIsUsedWhenHalfOfTheUpstreamsShed(CustomerSize size, int upstreamQueue) {
    RunResult shed = run(size, LoadRun.Fault.HALF_SHED, 0.8, upstreamQueue);
    assertThat(shed.served()).isGreaterThanOrEqualTo((long) (0.9 * shed.capacity() / 2));
    assertThat(shed.extraReceived()).isLessThanOrEqualTo(BUDGET_SHARE);
  }
}
