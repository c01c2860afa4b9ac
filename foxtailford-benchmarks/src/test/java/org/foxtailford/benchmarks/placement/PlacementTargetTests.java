package org.foxtailford.benchmarks.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.placement.LoadAwarePolicy;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class PlacementTargetTests {

  private static final int MINUTES = 12;
  private static final int MAX_SETTLE_S = 60;
  private static final double MAX_CHURN = 2;

  @DataProvider
  public Object[][] customers() {
    return new Object[][] {{20, 1}, {20, 2}, {16, 1}, {16, 2}};
  }

  @Test(dataProvider = "customers")
  public void settlesInTimeWithLittleChurn(int upstreams, long seed) {
    PlacementMeasures measures =
        PlacementComparison.measure(new LoadAwarePolicy(), upstreams, seed, MINUTES);
    assertThat(measures.missed()).isZero();
    assertThat(measures.worstSettleSeconds()).isLessThanOrEqualTo(MAX_SETTLE_S);
    assertThat(measures.churnOverLeast()).isLessThanOrEqualTo(MAX_CHURN);
  }

  @Test
  public void theFirstVersionMissesTheTarget() {
    PlacementMeasures measures =
        PlacementComparison.measure(new EvenCountPolicy(1), 20, 1, MINUTES);
    assertThat(measures.missed()).isPositive();
  }
}
