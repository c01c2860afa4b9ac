package org.foxtailford.core.placement;

import java.util.List;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/**
 * Merge of adjacent slices of one owner. The merged slice is granted under a new fence.
 *
 * @param parts at least two adjacent slices, in ascending order
 */
public record SliceMerge(List<SliceRange> parts) {

  public SliceMerge {
    parts = List.copyOf(parts);
    Assert.isTrue(parts.size() > 1, "a merge requires at least two slices");
    Assert.isTrue(
        SliceSplit.areAdjacent(parts), "merged slices must be adjacent and in ascending order");
  }

  /** Returns the range of the merged slice. */
  public SliceRange whole() {
    return new SliceRange(parts.get(0).first(), parts.get(parts.size() - 1).last());
  }
}
