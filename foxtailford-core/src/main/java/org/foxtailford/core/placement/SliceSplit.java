package org.foxtailford.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.util.Assert;

/**
 * Divides a slice; every part keeps the slice's owner and fence.
 *
 * @param range the slice
 * @param parts its parts, in order
 */
public record SliceSplit(SliceRange range, List<SliceRange> parts) {

  public SliceSplit {
    parts = List.copyOf(parts);
    boolean ends =
        parts.get(0).first() == range.first() && parts.get(parts.size() - 1).last() == range.last();
    Assert.isTrue(ends && parts.size() > 1 && areAdjacent(parts), "parts must make up the range");
  }

  /** Divides a slice of more than one hash at its middle. */
  public static SliceSplit halve(SliceRange range) {
    long middle = range.first() + ((range.last() - range.first()) >>> 1);
    SliceRange low = new SliceRange(range.first(), middle);
    return new SliceSplit(range, List.of(low, new SliceRange(middle + 1, range.last())));
  }

  /** Gives one hash of a wider slice a slice of its own. */
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
