package org.foxtailford.core.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Bounds the number of upstreams that a poison request crashes and the number of harmless requests
 * that are classified as poison.
 */
class PoisonProperties {

  private static final PoisonLimits LIMITS = new PoisonLimits(2, 2, 60_000, 1000, 5000, 1);
  private static final int STEPS = 400;

  @Property(seed = "1", tries = 500)
  void twoUpstreamsAreLostInTotal(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 10) int entryVms) {
    assertThat(new PoisonWorld(seed, entryVms, 0, LIMITS).run(STEPS).lostUpstreams()).isEqualTo(2);
  }

  @Property(seed = "1", tries = 500)
  void atMostTwoUpstreamsAreLostPerEntryVmIfAllReportsAreLost(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 10) int entryVms) {
    assertThat(new PoisonWorld(seed, entryVms, 1, LIMITS).run(STEPS).lostUpstreams())
        .isBetween(2, 2 * entryVms);
  }

  @Property(seed = "1", tries = 500)
  void atMostOneHarmlessRequestIsClassifiedAsPoisonPerOtherEntryVmAndLoss(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 10) int entryVms) {
    PoisonWorld world = new PoisonWorld(seed, entryVms, 0.2, LIMITS).run(STEPS);
    long maxFalsePositives = (long) (world.lostUpstreams() - 1) * (entryVms - 1);
    assertThat(world.falsePositives()).isLessThanOrEqualTo(maxFalsePositives);
  }

  @Property(seed = "1", tries = 5)
  void harmlessRequestsAreRarelyClassifiedAsPoison(
      @ForAll @IntRange(min = 3, max = 10) int entryVms) {
    double mean =
        LongStream.range(0, 200)
            .mapToObj(seed -> new PoisonWorld(seed, entryVms, 0, LIMITS).run(STEPS))
            .mapToLong(PoisonWorld::falsePositives)
            .average()
            .orElseThrow();
    assertThat(mean).isLessThan(0.5);
  }

  @Property(seed = "1", tries = 20)
  void withoutPoisonVerdictsManyUpstreamsAreLost(@ForAll long seed) {
    PoisonLimits withoutVerdicts = new PoisonLimits(1000, 1000, 60_000, 1000, 5000, 1);
    assertThat(new PoisonWorld(seed, 3, 0, withoutVerdicts).run(STEPS).lostUpstreams())
        .isGreaterThan(20);
  }
}
