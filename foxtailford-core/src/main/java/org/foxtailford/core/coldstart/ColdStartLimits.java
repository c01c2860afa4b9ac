package org.foxtailford.core.coldstart;

import org.foxtailford.core.util.Assert;

/**
 * What an upstream bears in a cold start.
 *
 * @param maxConcurrent requests that it bears at once
 * @param warmUpMs time for which it stays cold, in milliseconds
 * @param requestTimeoutMs longest time of a request while it is cold, in milliseconds; at most
 *     {@link GateTiming#MAX_REQUEST_TIMEOUT_MS}
 */
public record ColdStartLimits(int maxConcurrent, long warmUpMs, long requestTimeoutMs) {

  public ColdStartLimits {
    Assert.isTrue(maxConcurrent > 0, "maxConcurrent must be positive");
    Assert.isTrue(warmUpMs >= 0, "warmUpMs must not be negative");
    Assert.isTrue(requestTimeoutMs > 0, "requestTimeoutMs must be positive");
    Assert.isTrue(
        requestTimeoutMs <= GateTiming.MAX_REQUEST_TIMEOUT_MS, "requestTimeoutMs is too long");
  }

  /** Returns limits that are within both. */
  public ColdStartLimits strictest(ColdStartLimits other) {
    return new ColdStartLimits(
        Math.min(maxConcurrent, other.maxConcurrent),
        Math.max(warmUpMs, other.warmUpMs),
        Math.min(requestTimeoutMs, other.requestTimeoutMs));
  }
}
