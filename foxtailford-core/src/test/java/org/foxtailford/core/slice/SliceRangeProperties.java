package org.foxtailford.core.slice;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class SliceRangeProperties {

  @Property(seed = "1", tries = 200)
  void eachHashLiesInExactlyOneRange(
      @ForAll @IntRange(min = 1, max = 300) int count, @ForAll long hash) {
    List<SliceRange> ranges = SliceRange.divide(count);
    assertThat(ranges.stream().filter(range -> range.contains(hash))).hasSize(1);
  }

  @Property(seed = "1", tries = 200)
  void sharesAddUpToOne(@ForAll @IntRange(min = 1, max = 300) int count) {
    double sum = SliceRange.divide(count).stream().mapToDouble(SliceRange::share).sum();
    assertThat(sum).isBetween(0.999999, 1.000001);
  }
}
