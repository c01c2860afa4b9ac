package org.foxtailford.core.coldstart;

import org.foxtailford.core.util.Assert;

/**
 * Timing of gate leases.
 *
 * @param ttlMs time to live of a lease, in milliseconds
 * @param requestTimeoutMs maximum timeout of a request to a cold upstream, in milliseconds
 * @param transitMs maximum time that a request takes to reach the upstream, in milliseconds
 * @param clockRateMarginPpm maximum difference of clock rates between two VMs, in parts per million
 */
public record GateTiming(
    long ttlMs, long requestTimeoutMs, long transitMs, int clockRateMarginPpm) {

  /** Maximum timeout of a request to a cold upstream, in milliseconds. */
  public static final long MAX_REQUEST_TIMEOUT_MS = 2000;

  /** Maximum time that a request takes to reach the upstream, in milliseconds. */
  public static final long TRANSIT_MS = 200;

  private static final long TTL_MS = 600;
  private static final long PPM = 1_000_000;

  public GateTiming {
    Assert.isTrue(ttlMs > 0, "ttlMs must be positive");
    Assert.isTrue(requestTimeoutMs > 0, "requestTimeoutMs must be positive");
  }

  /**
   * Returns the timing for the maximum request timeout, which covers every configuration, so that a
   * new leader doesn't need to know the configuration of its predecessor.
   */
  public static GateTiming of(int clockRateMarginPpm) {
    return new GateTiming(TTL_MS, MAX_REQUEST_TIMEOUT_MS, TRANSIT_MS, clockRateMarginPpm);
  }

  /**
   * Returns the maximum time from the renewal of a lease to the end of the last request sent under
   * it, in milliseconds, including the clock rate margin.
   */
  public long handoverMs() {
    long maxBusyMs = ttlMs + requestTimeoutMs + transitMs;
    return maxBusyMs + maxBusyMs * clockRateMarginPpm / PPM + 1;
  }
}
