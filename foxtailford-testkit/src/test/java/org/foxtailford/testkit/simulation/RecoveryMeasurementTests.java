package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailford.testkit.simulation.RecoveryMeasurement.Loss;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RecoveryMeasurementTests {

  private static final int SAMPLES = 100;
  private static final long TARGET_MS = 2000;

  @DataProvider
  public Object[][] losses() {
    return new Object[][] {
      {Loss.UPSTREAM}, {Loss.LEADER}, {Loss.LEADER_AND_UPSTREAM}, {Loss.UPSTREAM_WHILE_TABLE_DOWN}
    };
  }

  @Test(dataProvider = "losses")
  public void everySliceHasAnOwnerAgainWithinTheTarget(Loss loss) {
    long[] times = new RecoveryMeasurement(SimulationVariant.unchanged()).run(loss, 1, SAMPLES);
    assertThat(times[0]).isPositive();
    assertThat(times[SAMPLES - 1]).isLessThanOrEqualTo(TARGET_MS);
  }
}
