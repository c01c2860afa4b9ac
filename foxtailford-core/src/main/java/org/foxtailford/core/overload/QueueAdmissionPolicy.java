package org.foxtailford.core.overload;

import org.foxtailford.core.util.Assert;

/**
 * Decides whether and how long a request that finds no free upstream is queued, and after what
 * delay a rejected caller should retry.
 *
 * <p>An immediate rejection is better for a caller than one after a wait, since it can retry at
 * another entry VM. A request is therefore queued only while it is likely to be sent in time given
 * the requests ahead of it, and only for a bounded part of its latency target. Handles bursts and
 * retry storms. Immutable and thread-safe.
 */
public final class QueueAdmissionPolicy {

  /** Fraction of the latency target that may be spent waiting; the rest is for the work itself. */
  public static final double MAX_WAIT_SHARE = 0.4;

  /** Fraction of a caller's remaining time up to which it honours a retry delay. */
  private static final double MAX_RETRY_AFTER_SHARE = 1.0 / 3;

  /**
   * Ratio of expected to remaining wait above which a queued request is rejected; above 1 because
   * the send rate varies.
   */
  private static final double LATE_WAIT_FACTOR = 1.2;

  private static final long MIN_RETRY_AFTER_MS = 30;

  private final int capacity;

  /**
   * Creates a policy.
   *
   * @param capacity maximum number of waiting requests; positive
   */
  public QueueAdmissionPolicy(int capacity) {
    Assert.isTrue(capacity > 0, "capacity must be positive");
    this.capacity = capacity;
  }

  /**
   * Returns until when a request may wait, in milliseconds.
   *
   * @param workMs typical service time, in milliseconds; it must fit before the deadline
   */
  public long waitsUntilMs(WaitingRequest request, long workMs) {
    long maxWaitMs = (long) (MAX_WAIT_SHARE * (request.targetAtMs() - request.arrivedMs()));
    long latestStartMs = request.deadlineMs() - workMs;
    return Math.max(request.arrivedMs(), Math.min(request.arrivedMs() + maxWaitMs, latestStartMs));
  }

  /**
   * Returns whether a request is queued; otherwise it is rejected immediately.
   *
   * @param ahead number of requests that would be sent before it; one of unusual cost counts for as
   *     many average ones as it costs
   * @param sentPerSecond rate at which this VM sends average requests to the same upstreams
   * @param waitsUntilMs until when it may wait
   */
  public boolean mayWait(double ahead, double sentPerSecond, long waitsUntilMs, long nowMs) {
    if (ahead >= capacity || waitsUntilMs <= nowMs) {
      return false;
    }
    return ahead == 0 || expectedWaitMs(ahead, sentPerSecond) <= waitsUntilMs - nowMs;
  }

  /**
   * Returns whether a waiting request is no longer expected to be sent in time, because requests
   * that precede it have arrived. It is then rejected now instead of at the end of its wait.
   *
   * @param ahead number of waiting requests that precede it, in average ones
   */
  public boolean isExpectedTooLate(
      double ahead, double sentPerSecond, long waitsUntilMs, long nowMs) {
    return ahead > 0
        && expectedWaitMs(ahead, sentPerSecond)
            > LATE_WAIT_FACTOR * Math.max(0, waitsUntilMs - nowMs);
  }

  private static double expectedWaitMs(double ahead, double sentPerSecond) {
    return sentPerSecond <= 0 ? 0 : 1000.0 * ahead / sentPerSecond;
  }

  /**
   * Returns the delay after which a rejected caller should retry, in milliseconds: the expected
   * time until the requests waiting now have been sent, up to the delay that the caller honours.
   *
   * @param waiting number of waiting requests
   * @param sentPerSecond rate at which this VM sends requests to the same upstreams; 0 while none
   *     of them is reachable, which yields the longest delay
   * @param remainingMs time until the caller's deadline, in milliseconds
   * @param random number from 0 to 1, as jitter between callers
   */
  public long retryAfterMs(int waiting, double sentPerSecond, long remainingMs, double random) {
    double maxDelayMs = remainingMs * MAX_RETRY_AFTER_SHARE;
    double drainedMs = sentPerSecond <= 0 ? maxDelayMs : expectedWaitMs(waiting + 1, sentPerSecond);
    double jitteredMs = Math.min(drainedMs, maxDelayMs) * (0.5 + random / 2);
    return (long) Math.min(maxDelayMs, Math.max(MIN_RETRY_AFTER_MS, jitteredMs));
  }
}
