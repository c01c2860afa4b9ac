package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class LeaderFitnessTests {

  @Test
  public void strongVmWithFastLinkHasNoDelay() {
    assertThat(LeaderFitness.delayMs(1.5, 140)).isZero();
  }

  @Test
  public void weakProcessorsAndSlowLinksAddDelay() {
    assertThat(LeaderFitness.delayMs(0.5, 140)).isEqualTo(300);
    assertThat(LeaderFitness.delayMs(1.5, 10)).isEqualTo(300);
    assertThat(LeaderFitness.delayMs(0.3, 7)).isGreaterThan(LeaderFitness.delayMs(0.3, 140));
  }

  @Test
  public void delayIsBoundedForTheWeakestVm() {
    assertThat(LeaderFitness.delayMs(0.01, 0.1)).isEqualTo(1500);
  }
}
