package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Range of keys; both bounds are inclusive.
 *
 * @param first lowest key
 * @param last highest key
 */
public record KeyRange(int first, int last) {

  /** Number of keys of a service, numbered from 0; fixed by the callers' interface. */
  public static final int KEYS = 65536;

  /**
   * Creates a range.
   *
   * @throws IllegalArgumentException if the range is empty or exceeds the keys of a service
   */
  public KeyRange {
    Assert.isTrue(first >= 0 && first <= last && last < KEYS, "range must lie within all keys");
  }

  /** Returns the number of keys in the range. */
  public int width() {
    return last - first + 1;
  }
}
