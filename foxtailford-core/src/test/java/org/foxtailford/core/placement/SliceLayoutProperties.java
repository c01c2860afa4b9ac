package org.foxtailford.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.foxtailford.core.slice.KeyLoad;
import org.foxtailford.core.slice.SliceRange;

class SliceLayoutProperties {

  @Property(seed = "11", tries = 200)
  void splitsAndMergesPreservePartition(@ForAll Random random) {
    SliceLayout layout = new SliceLayout(SliceRange.divide(1 + random.nextInt(20)));
    for (int i = 0; i < 30; i++) {
      layout = randomChange(layout, random);
      assertPartition(layout);
    }
  }

  @Property(seed = "12", tries = 200)
  void projectionPreservesTotalLoad(@ForAll Random random) {
    SliceLayout from = new SliceLayout(SliceRange.divide(1 + random.nextInt(20)));
    SliceLayout to = from;
    for (int i = 0; i < 10; i++) {
      to = randomChange(to, random);
    }
    double[] load = random.doubles(from.size(), 0, 100).toArray();
    List<KeyLoad> hot = List.of(new KeyLoad(random.nextLong(), 30));
    double[] projected = from.project(load, to, hot);
    assertThat(Arrays.stream(projected).sum()).isCloseTo(Arrays.stream(load).sum(), within(1e-6));
  }

  @Property(seed = "13", tries = 200)
  void rebuildFillsGapsBetweenHeldSlices(@ForAll Random random) {
    SliceLayout whole = new SliceLayout(SliceRange.divide(2 + random.nextInt(20)));
    List<SliceRange> held = new ArrayList<>(whole.ranges());
    held.removeIf(range -> random.nextBoolean());
    SliceLayout rebuilt = SliceLayout.rebuild(List.of(SliceRange.ALL), held);
    assertThat(rebuilt.ranges()).containsAll(held);
    assertPartition(rebuilt);
  }

  private static SliceLayout randomChange(SliceLayout layout, Random random) {
    int index = random.nextInt(layout.size());
    SliceRange range = layout.ranges().get(index);
    if (random.nextBoolean() && index + 1 < layout.size()) {
      SliceMerge merge = new SliceMerge(List.of(range, layout.ranges().get(index + 1)));
      return layout.apply(List.of(merge), List.of());
    }
    if (range.first() == range.last()) {
      return layout;
    }
    long offset = Long.remainderUnsigned(random.nextLong(), range.last() - range.first());
    SliceSplit split =
        random.nextBoolean()
            ? SliceSplit.halve(range)
            : SliceSplit.isolate(range, range.first() + offset);
    return layout.apply(List.of(), List.of(split));
  }

  static void assertPartition(SliceLayout layout) {
    List<SliceRange> ranges = layout.ranges();
    assertThat(ranges.get(0).first()).isZero();
    assertThat(ranges.get(ranges.size() - 1).last()).isEqualTo(-1L);
    for (int i = 1; i < ranges.size(); i++) {
      assertThat(ranges.get(i).first()).isEqualTo(ranges.get(i - 1).last() + 1);
    }
  }
}
