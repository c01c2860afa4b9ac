package org.foxtailford.core.ownership;

/**
 * Homes of ranges, and how old that knowledge may be.
 *
 * @param directory the homes
 * @param asOfMs reading of this VM's clock before the rows were read from the table
 */
public record HomesReading(HomeDirectory directory, long asOfMs) {

  /** Returns the reading before any row was read. */
  public static HomesReading none() {
    return new HomesReading(HomeDirectory.empty(), Long.MIN_VALUE);
  }
}
