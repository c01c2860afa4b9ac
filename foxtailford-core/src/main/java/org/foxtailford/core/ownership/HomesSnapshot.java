package org.foxtailford.core.ownership;

/**
 * Homes of ranges, and how old that knowledge may be.
 *
 * @param directory the homes
 * @param asOfMs reading of this VM's clock before the rows were read from the table
 */
public record HomesSnapshot(HomeDirectory directory, long asOfMs) {

  /** Returns the reading before any row was read. */
  public static HomesSnapshot none() {
    return new HomesSnapshot(HomeDirectory.empty(), Long.MIN_VALUE);
  }
}
