package org.foxtailford.core.placement;

import java.util.List;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/**
 * Joins neighbouring slices of one owner; the whole is granted under a new fence.
 *
 * @param parts neighbouring slices, in order
 */
public record SliceMerge(List<SliceRange> parts) {

  public SliceMerge {
    parts = List.copyOf(parts);
    Assert.isTrue(parts.size() > 1, "at least two slices are needed");
    Assert.isTrue(SliceSplit.areAdjacent(parts), "slices must be neighbours");
  }

  /** Returns the slice that the parts make up. */
  public SliceRange whole() {
    return new SliceRange(parts.get(0).first(), parts.get(parts.size() - 1).last());
  }
}
