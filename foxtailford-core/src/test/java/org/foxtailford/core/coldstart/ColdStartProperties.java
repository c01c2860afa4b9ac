package org.foxtailford.core.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class ColdStartProperties {

  @Property(seed = "7", tries = 300)
  void coldUpstreamNeverGetsMoreThanItsAllowance(
      @ForAll @IntRange(min = 1, max = 5) int entryVms, @ForAll long seed) {
    ColdStartWorld world = new ColdStartWorld(entryVms, seed);
    world.run(4000);
    assertThat(world.overAllowance()).as("seed %d", seed).isZero();
  }
}
