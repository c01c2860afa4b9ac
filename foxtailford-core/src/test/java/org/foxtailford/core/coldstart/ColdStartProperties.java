package org.foxtailford.core.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ColdStartProperties {

  @Property(seed = "7", tries = 300)
  void coldUpstreamNeverRunsMoreThanItsLimit(
      @ForAll @IntRange(min = 1, max = 5) int entryVms, @ForAll long seed) {
    ColdStartSimulation simulation = new ColdStartSimulation(entryVms, seed);
    simulation.run(4000);
    assertThat(simulation.limitViolations()).as("seed %d", seed).isZero();
  }
}
