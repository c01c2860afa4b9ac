package org.foxtailford.core.coldstart;

import org.foxtailford.core.util.Assert;

/**
 * Limits on the requests sent to a cold upstream.
 *
 * @param maxConcurrent maximum number of requests that it runs at once
 * @param warmUpMs time from its start until it is warm, in milliseconds
 * @param requestTimeoutMs maximum timeout of a request, in milliseconds; not above {@link
 *     GateTiming#MAX_REQUEST_TIMEOUT_MS}
 */
public record ColdStartLimits(int maxConcurrent, long warmUpMs, long requestTimeoutMs) {

  public ColdStartLimits {
    Assert.isTrue(maxConcurrent > 0, "maxConcurrent must be positive");
    Assert.isTrue(warmUpMs >= 0, "warmUpMs must not be negative");
    Assert.isTrue(requestTimeoutMs > 0, "requestTimeoutMs must be positive");
    Assert.isTrue(
        requestTimeoutMs <= GateTiming.MAX_REQUEST_TIMEOUT_MS,
        "requestTimeoutMs is above the maximum");
  }

  /** Returns the stricter value of each limit of the two. */
  public ColdStartLimits strictest(ColdStartLimits other) {
    return new ColdStartLimits(
        Math.min(maxConcurrent, other.maxConcurrent),
        Math.max(warmUpMs, other.warmUpMs),
        Math.min(requestTimeoutMs, other.requestTimeoutMs));
  }
}
