package org.foxtailford.core.ownership;

/**
 * Homes of ranges together with the time at which they were read.
 *
 * @param directory the homes
 * @param asOfMs time on this VM's clock before the reads of the rows were sent, in milliseconds
 */
public record HomesSnapshot(HomeDirectory directory, long asOfMs) {

  /** Returns a snapshot without homes, which is older than any other. */
  public static HomesSnapshot none() {
    return new HomesSnapshot(HomeDirectory.empty(), Long.MIN_VALUE);
  }
}
