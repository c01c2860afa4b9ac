package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Durations and timeouts of grants and releases.
 *
 * @param grantTtlMs time for which a grant is in force after its arrival, in milliseconds
 * @param renewIntervalMs interval between renewals of a grant, in milliseconds
 * @param retryIntervalMs interval between retries of an unanswered command, in milliseconds
 * @param callTimeoutMs timeout of a grant, in milliseconds
 * @param releaseTimeoutMs timeout of a release, which is answered only when the work on the keys
 *     has ended, in milliseconds
 * @param expiryMarginMs safety margin after which a grant counts as expired, in milliseconds
 */
public record RangeTiming(
    long grantTtlMs,
    long renewIntervalMs,
    long retryIntervalMs,
    long callTimeoutMs,
    long releaseTimeoutMs,
    long expiryMarginMs) {

  /**
   * Largest fraction by which an upstream's clock may run slow; fixed by the upstreams' interface.
   */
  public static final double MAX_CLOCK_DRIFT = 0.02;

  /**
   * Creates a timing.
   *
   * @throws IllegalArgumentException if a grant does not outlast two renewals, or a time is not
   *     positive
   */
  public RangeTiming {
    Assert.isTrue(
        grantTtlMs > 2 * renewIntervalMs, "grantTtlMs must be over twice renewIntervalMs");
    Assert.isTrue(
        retryIntervalMs > 0 && callTimeoutMs > 0 && releaseTimeoutMs > 0 && expiryMarginMs >= 0,
        "times must be positive");
  }

  /**
   * Returns the latest time at which a grant may still be in force, including the drift of the
   * upstream's clock and the margin.
   *
   * @param arrivedMs latest time at which the grant can have arrived, in milliseconds
   */
  public long latestExpiryMs(long arrivedMs) {
    return arrivedMs + (long) Math.ceil(grantTtlMs * (1 + MAX_CLOCK_DRIFT)) + expiryMarginMs;
  }
}
