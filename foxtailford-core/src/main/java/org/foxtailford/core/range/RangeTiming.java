package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Times of grants.
 *
 * @param grantTtlMs time for which a grant holds from its arrival, in milliseconds
 * @param renewIntervalMs time between two renewals, in milliseconds
 * @param retryIntervalMs time between two sends of an order without answer, in milliseconds
 * @param callTimeoutMs longest time for one order, in milliseconds
 * @param releaseTimeoutMs longest time for a release, which is answered when the work has ended, in
 *     milliseconds
 * @param expiryMarginMs what is added to a hold time before it counts as over, in milliseconds
 */
public record RangeTiming(
    long grantTtlMs,
    long renewIntervalMs,
    long retryIntervalMs,
    long callTimeoutMs,
    long releaseTimeoutMs,
    long expiryMarginMs) {

  /** Most by which an upstream's clock may run slow; from the upstreams' interface. */
  public static final double MAX_CLOCK_DRIFT = 0.02;

  /** Checks the fields. */
  public RangeTiming {
    Assert.isTrue(grantTtlMs > 2 * renewIntervalMs, "grantTtlMs must be over two renewals");
    Assert.isTrue(
        retryIntervalMs > 0 && callTimeoutMs > 0 && releaseTimeoutMs > 0 && expiryMarginMs >= 0,
        "times must be positive");
  }

  /** Returns until when a grant may hold that arrived at a time at the latest. */
  public long latestExpiryMs(long arrivedMs) {
    return arrivedMs + (long) Math.ceil(grantTtlMs * (1 + MAX_CLOCK_DRIFT)) + expiryMarginMs;
  }
}
