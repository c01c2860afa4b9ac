package org.foxtailford.core.coldstart;

import org.foxtailford.core.util.Assert;

/**
 * Timing of gate leases.
 *
 * @param ttlMs time to live of a lease, in milliseconds
 * @param requestTimeoutMs longest time that a request to a cold upstream may take, in milliseconds
 * @param transitMs longest time that a sent request is under way, in milliseconds
 * @param clockRateMarginPpm largest difference of clock rates between two VMs, in parts per million
 */
public record GateTiming(
    long ttlMs, long requestTimeoutMs, long transitMs, int clockRateMarginPpm) {

  /** Longest time that a request to a cold upstream may take, in milliseconds. */
  public static final long MAX_REQUEST_TIMEOUT_MS = 2000;

  /** Longest time that a sent request is under way, in milliseconds. */
  public static final long TRANSIT_MS = 200;

  private static final long TTL_MS = 600;
  private static final long PPM = 1_000_000;

  public GateTiming {
    Assert.isTrue(ttlMs > 0, "ttlMs must be positive");
    Assert.isTrue(requestTimeoutMs > 0, "requestTimeoutMs must be positive");
  }

  /**
   * Returns the timing that covers every configuration, so that a new leader need not know which
   * one its predecessor had.
   */
  public static GateTiming of(int clockRateMarginPpm) {
    return new GateTiming(TTL_MS, MAX_REQUEST_TIMEOUT_MS, TRANSIT_MS, clockRateMarginPpm);
  }

  /** Returns how long after a renewal the last request under the lease may still be running. */
  public long handoverMs() {
    long busyMs = ttlMs + requestTimeoutMs + transitMs;
    return busyMs + busyMs * clockRateMarginPpm / PPM + 1;
  }
}
