package org.foxtailford.core.slice;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.SliceRangeValue;

/**
 * Non-empty range of key hashes, compared as unsigned numbers. Both bounds are inclusive. Ranges
 * are ordered by their first hash.
 *
 * @param first lowest hash of the range
 * @param last highest hash of the range
 */
public record SliceRange(long first, long last) implements Comparable<SliceRange> {

  /** Range that covers the whole hash space. */
  public static final SliceRange ALL = new SliceRange(0, -1L);

  public SliceRange {
    Assert.isTrue(
        Long.compareUnsigned(first, last) <= 0, "first must not be greater than last (unsigned)");
  }

  /** Converts a protobuf message. */
  public static SliceRange of(SliceRangeValue value) {
    return new SliceRange(value.getFirst(), value.getLast());
  }

  /**
   * Divides the whole hash space into ranges of nearly equal width.
   *
   * @param count number of ranges; positive
   * @return ranges in ascending order
   */
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

  /** Returns whether the range contains a hash. */
  public boolean contains(long hash) {
    return Long.compareUnsigned(first, hash) <= 0 && Long.compareUnsigned(hash, last) <= 0;
  }

  /** Returns whether both ranges have at least one hash in common. */
  public boolean overlaps(SliceRange other) {
    return Long.compareUnsigned(first, other.last) <= 0
        && Long.compareUnsigned(other.first, last) <= 0;
  }

  /**
   * Returns the range of hashes that both ranges contain.
   *
   * @throws IllegalArgumentException if the ranges do not overlap
   */
  public SliceRange intersection(SliceRange other) {
    long start = Long.compareUnsigned(first, other.first) >= 0 ? first : other.first;
    long end = Long.compareUnsigned(last, other.last) <= 0 ? last : other.last;
    return new SliceRange(start, end);
  }

  /** Returns the share of the hash space that the range covers, from 0 to 1. */
  public double share() {
    double width = (double) ((last - first) >>> 1) + 1;
    return width / (double) (1L << 62) / 2;
  }

  /** Converts this range to a protobuf message. */
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
