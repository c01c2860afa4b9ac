package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Keys from first to last, both included.
 *
 * @param first lowest key
 * @param last highest key
 */
public record KeyRange(int first, int last) {

  /** Number of keys of a service; from the callers' interface. */
  public static final int KEYS = 65536;

  /** Checks the bounds. */
  public KeyRange {
    Assert.isTrue(first >= 0 && first <= last && last < KEYS, "range must lie within all keys");
  }

  /** Returns the number of keys. */
  public int width() {
    return last - first + 1;
  }
}
