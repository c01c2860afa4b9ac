package org.foxtailford.core.admission;

import org.foxtailford.core.util.Assert;

/**
 * Sheds load by worth before a limit is reached: the last part of the limit is kept for requests of
 * higher worth.
 *
 * @param limit most requests at once, whatever their worth
 */
public record PriorityThreshold(int limit) {

  /** Highest worth of a request. */
  public static final int MAX_PRIORITY = 100;

  private static final double OPEN_TO_ALL = 0.7;

  public PriorityThreshold {
    Assert.isTrue(limit > 0, "limit must be positive");
  }

  /**
   * Tells whether a request is admitted.
   *
   * @param inFlight requests in flight without it
   * @param worth its worth, from 0 to 100
   */
  public boolean admits(int inFlight, int worth) {
    double share = OPEN_TO_ALL + (1 - OPEN_TO_ALL) * worth / MAX_PRIORITY;
    return inFlight < Math.max(1, limit * share);
  }
}
