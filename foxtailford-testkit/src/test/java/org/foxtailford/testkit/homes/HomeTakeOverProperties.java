package org.foxtailford.testkit.homes;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class HomeTakeOverProperties {

  private static final HomeRules RULES = new HomeRules() {};

  @Property(seed = "1", tries = 1000)
  void noSliceHasTwoOwnersAndEachHasOneAgain(@ForAll long seed) {
    HomeSchedule.Result result = new HomeSchedule(seed, RULES).run();
    assertThat(result.violations()).isEmpty();
    assertThat(result.ownedAgainMs()).isLessThan(HomeSchedule.OWNED_AGAIN_WITHIN_MS);
  }
}
