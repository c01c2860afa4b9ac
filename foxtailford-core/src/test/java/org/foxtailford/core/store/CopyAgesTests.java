package org.foxtailford.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class CopyAgesTests {

  private final CopyAges ages = new CopyAges();

  @Test
  public void eachTableHasItsOwnAgeAndNeverBecomesOlderByNews() {
    ages.record("operators", 100);
    ages.record("upstreams", 900);
    ages.record("operators", 50);
    assertThat(ages.ageMs("operators", 1000)).hasValue(900);
    assertThat(ages.ageMs("upstreams", 1000)).hasValue(100);
    assertThat(ages.ageMs("members", 1000)).isEmpty();
  }
}
