package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Times of grants.
 *
 * @param holdMs time for which a grant holds from its arrival, in milliseconds
 * @param renewMs time between two renewals, in milliseconds
 * @param retryMs time between two sends of an order without answer, in milliseconds
 * @param callMs longest time for one order, in milliseconds
 * @param releaseMs longest time for a release, which is answered when the work has ended, in
 *     milliseconds
 * @param marginMs what is added to a hold time before it counts as over, in milliseconds
 */
public record RangeTiming(
    long holdMs, long renewMs, long retryMs, long callMs, long releaseMs, long marginMs) {

  /** Most by which an upstream's clock may run slow; from the upstreams' interface. */
  public static final double CLOCK_ERROR = 0.02;

  /** Checks the fields. */
  public RangeTiming {
    Assert.isTrue(holdMs > 2 * renewMs, "holdMs must be over two renewals");
    Assert.isTrue(
        retryMs > 0 && callMs > 0 && releaseMs > 0 && marginMs >= 0, "times must be positive");
  }

  /** Returns until when a grant may hold that arrived at a time at the latest. */
  public long holdsUntil(long arrivedMs) {
    return arrivedMs + (long) Math.ceil(holdMs * (1 + CLOCK_ERROR)) + marginMs;
  }
}
