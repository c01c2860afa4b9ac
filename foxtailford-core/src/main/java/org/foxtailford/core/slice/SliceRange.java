package org.foxtailford.core.slice;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.SliceRangeValue;

/**
 * A range of key hashes, both ends inclusive, in unsigned order.
 *
 * @param first lowest hash of the range
 * @param last highest hash of the range
 */
public record SliceRange(long first, long last) implements Comparable<SliceRange> {

  /** The whole hash space. */
  public static final SliceRange ALL = new SliceRange(0, -1L);

  public SliceRange {
    Assert.isTrue(Long.compareUnsigned(first, last) <= 0, "first must not be above last");
  }

  /** Returns the range of a schema message. */
  public static SliceRange of(SliceRangeValue value) {
    return new SliceRange(value.getFirst(), value.getLast());
  }

  /** Divides the whole hash space into ranges of nearly equal width, in order. */
  public static List<SliceRange> divide(int count) {
    Assert.isTrue(count > 0, "count must be positive");
    List<SliceRange> ranges = new ArrayList<>(count);
    long width = Long.divideUnsigned(-1L, count);
    for (int i = 0; i < count; i++) {
      long first = width * i;
      long last = i == count - 1 ? -1L : width * (i + 1) - 1;
      ranges.add(new SliceRange(first, last));
    }
    return ranges;
  }

  /** Tells whether a hash lies in the range. */
  public boolean contains(long hash) {
    return Long.compareUnsigned(first, hash) <= 0 && Long.compareUnsigned(hash, last) <= 0;
  }

  /** Tells whether a hash is common to both ranges. */
  public boolean overlaps(SliceRange other) {
    return Long.compareUnsigned(first, other.last) <= 0
        && Long.compareUnsigned(other.first, last) <= 0;
  }

  /** Returns the hashes that are common to both ranges, which must overlap. */
  public SliceRange intersection(SliceRange other) {
    long start = Long.compareUnsigned(first, other.first) >= 0 ? first : other.first;
    long end = Long.compareUnsigned(last, other.last) <= 0 ? last : other.last;
    return new SliceRange(start, end);
  }

  /** Returns the share of the hash space that the range covers, between 0 and 1. */
  public double share() {
    double width = (double) ((last - first) >>> 1) + 1;
    return width / (double) (1L << 62) / 2;
  }

  /** Returns the schema message of this range. */
  public SliceRangeValue toValue() {
    return SliceRangeValue.newBuilder().setFirst(first).setLast(last).build();
  }

  @Override
  public int compareTo(SliceRange other) {
    return Long.compareUnsigned(first, other.first);
  }

  @Override
  public String toString() {
    return String.format("%016x-%016x", first, last);
  }
}
