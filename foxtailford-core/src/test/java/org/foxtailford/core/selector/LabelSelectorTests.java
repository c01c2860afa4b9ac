package org.foxtailford.core.selector;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LabelSelectorTests {

  private static final Map<String, String> LABELS = Map.of("zone", "a", "tier", "gold");

  @DataProvider
  public Object[][] selectors() {
    return new Object[][] {
      {"zone=a", true},
      {"zone==b", false},
      {"zone!=b", true},
      {"zone in (a, b), tier=gold, !draining", true},
      {"zone notin (a,b)", false},
      {"tier", true},
      {"draining", false},
      {"rack!=r1", true},
      {"zone in (a, a)", true},
    };
  }

  @Test(dataProvider = "selectors")
  public void matches(String selector, boolean expected) {
    assertThat(LabelSelector.parse(selector).matches(LABELS)).isEqualTo(expected);
  }

  @Test
  public void messageContainsInvalidTerm() {
    assertThatIllegalArgumentException()
        .isThrownBy(() -> LabelSelector.parse("zone=a, tier>>gold"))
        .withMessageContaining("tier>>gold");
  }

  @Test
  public void messageContainsAllInvalidTerms() {
    assertThatIllegalArgumentException()
        .isThrownBy(() -> LabelSelector.parse("??, tier=gold, zone in ()"))
        .withMessageContaining("\"??\"")
        .withMessageContaining("\"zone in ()\"");
  }

  @Test
  public void labelNamesAreDistinctAndInOrderOfAppearance() {
    assertThat(LabelSelector.parse("zone in (a,b), !draining, zone!=c").labelNames())
        .containsExactly("zone", "draining");
  }
}
