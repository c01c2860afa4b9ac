package org.foxtailford.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/**
 * Split of a slice into parts. Every part keeps the owner and the fence of the slice.
 *
 * @param range range of the slice to split
 * @param parts at least two adjacent ranges that cover {@code range}, in ascending order
 */
public record SliceSplit(SliceRange range, List<SliceRange> parts) {

  public SliceSplit {
    parts = List.copyOf(parts);
    boolean endsMatch =
        parts.get(0).first() == range.first() && parts.get(parts.size() - 1).last() == range.last();
    Assert.isTrue(
        endsMatch && parts.size() > 1 && areAdjacent(parts),
        "parts must be adjacent and cover the range");
  }

  /** Returns a split into two halves of nearly equal width. The range must cover several hashes. */
  public static SliceSplit halve(SliceRange range) {
    long middle = range.first() + ((range.last() - range.first()) >>> 1);
    SliceRange low = new SliceRange(range.first(), middle);
    return new SliceSplit(range, List.of(low, new SliceRange(middle + 1, range.last())));
  }

  /**
   * Returns a split that gives one hash a slice of its own. The range must cover further hashes.
   *
   * @param keyHash hash within the range
   */
  public static SliceSplit isolate(SliceRange range, long keyHash) {
    List<SliceRange> parts = new ArrayList<>();
    if (keyHash != range.first()) {
      parts.add(new SliceRange(range.first(), keyHash - 1));
    }
    parts.add(new SliceRange(keyHash, keyHash));
    if (keyHash != range.last()) {
      parts.add(new SliceRange(keyHash + 1, range.last()));
    }
    return new SliceSplit(range, parts);
  }

  static boolean areAdjacent(List<SliceRange> parts) {
    for (int i = 1; i < parts.size(); i++) {
      if (parts.get(i - 1).last() + 1 != parts.get(i).first()) {
        return false;
      }
    }
    return true;
  }
}
