package org.foxtailford.core.admission;

import org.foxtailford.core.util.Assert;

/**
 * Sheds load by priority before a limit is reached: the upper part of the limit is reserved for
 * requests of higher priority.
 *
 * @param limit maximum number of concurrent requests of the highest priority; positive
 */
public record PriorityThreshold(int limit) {

  /** Highest priority of a request. */
  public static final int MAX_PRIORITY = 100;

  private static final double UNRESERVED_SHARE = 0.7;

  public PriorityThreshold {
    Assert.isTrue(limit > 0, "limit must be positive");
  }

  /**
   * Returns whether a request is admitted.
   *
   * @param inFlight number of requests in flight, excluding this one
   * @param priority priority of the request, from 0 to {@link #MAX_PRIORITY}
   */
  public boolean admits(int inFlight, int priority) {
    double share = UNRESERVED_SHARE + (1 - UNRESERVED_SHARE) * priority / MAX_PRIORITY;
    return inFlight < Math.max(1, limit * share);
  }
}
