package org.foxtailford.core.store;

import org.foxtailford.core.util.Assert;

/**
 * Position in the store's history.
 *
 * <p>A store that is restored from an older copy begins a new era, in which it issues the numbers
 * after that copy again. Numbers of different eras therefore say nothing about each other, and
 * comparing them is an error.
 *
 * @param era number of times that the store was restored, as it states itself; not negative
 * @param number counter of the store's transactions; not negative
 */
public record StoreVersion(long era, long number) {

  /** Version before the first transaction of the first era. */
  public static final StoreVersion NONE = new StoreVersion(0, 0);

  /** Validates the numbers. */
  public StoreVersion {
    Assert.isTrue(era >= 0 && number >= 0, "era and number must not be negative");
  }

  /**
   * Returns whether this version comes after another one of the same era.
   *
   * @throws IllegalArgumentException if the eras differ
   */
  public boolean isNewerThan(StoreVersion other) {
    Assert.isTrue(era == other.era, "versions of eras " + era + " and " + other.era + " compared");
    return number > other.number;
  }

  /** Returns whether this version belongs to a later era, or comes after another one of its era. */
  public boolean isAheadOf(StoreVersion other) {
    return era > other.era || era == other.era && number > other.number;
  }

  @Override
  public String toString() {
    return era + "/" + number;
  }
}
