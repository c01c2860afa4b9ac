package org.foxtailford.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class CopyAgesTests {

  private final CopyAges ages = new CopyAges(() -> 1000);

  @Test
  public void eachTableHasItsOwnAgeAndNeverBecomesOlderByNews() {
    ages.record("operators", 100);
    ages.record("upstreams", 900);
    ages.record("operators", 50);
    assertThat(ages.ageMs("operators")).hasValue(900);
    assertThat(ages.ageMs("upstreams")).hasValue(100);
    assertThat(ages.ageMs("members")).isEmpty();
    assertThat(ages.isOlderThan("operators", 899)).isTrue();
    assertThat(ages.isOlderThan("upstreams", 899)).isFalse();
    assertThat(ages.isOlderThan("members", Long.MAX_VALUE - 1)).isTrue();
  }
}
