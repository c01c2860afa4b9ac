package org.foxtailford.core.overload;

import org.foxtailford.core.util.Assert;

/**
 * Decides whether a request that finds no free upstream waits, how long, and what a refused caller
 * is told.
 *
 * <p>A caller is better off with a refusal at once than with one after a wait, since it may come
 * back to another entry VM. So a request waits only while those before it leave it a fair chance,
 * and for a bounded part of its aim. Answers the load patterns of a burst and of a retry storm.
 */
public final class QueueAdmissionPolicy {

  /** Part of a request's aim for which it may wait; what is left is for its work. */
  public static final double MAX_WAIT_SHARE = 0.4;

  /** Part of a caller's remaining time within which it heeds a time to come back. */
  private static final double HEEDED_SHARE = 1.0 / 3;

  /** How much longer than its time a wait must be expected to be hopeless: rates vary. */
  private static final double HOPE = 1.2;

  private static final long LEAST_RETRY_AFTER_MS = 30;

  private final int capacity;

  /** Creates a room with a largest number of waiting requests. */
  public QueueAdmissionPolicy(int capacity) {
    Assert.isTrue(capacity > 0, "capacity must be positive");
    this.capacity = capacity;
  }

  /** Returns until when a request may wait, in milliseconds. */
  public long waitsUntilMs(WaitingRequest request, long workMs) {
    long ofAim = (long) (MAX_WAIT_SHARE * (request.targetAtMs() - request.arrivedMs()));
    long latest = request.deadlineMs() - workMs;
    return Math.max(request.arrivedMs(), Math.min(request.arrivedMs() + ofAim, latest));
  }

  /**
   * Returns whether a request waits; otherwise it is refused at once.
   *
   * @param ahead requests that would be sent before it
   * @param sentPerSecond requests that this VM sends a second to the same upstreams
   * @param waitsUntilMs until when it may wait
   */
  public boolean mayWait(int ahead, double sentPerSecond, long waitsUntilMs, long nowMs) {
    if (ahead >= capacity || waitsUntilMs <= nowMs) {
      return false;
    }
    return ahead == 0 || expectedWaitMs(ahead, sentPerSecond) <= waitsUntilMs - nowMs;
  }

  /**
   * Returns whether a waiting request would not be sent in time, since others came that go before
   * it. It is refused now instead of at the end of its wait.
   *
   * @param ahead waiting requests that go before it
   */
  public boolean isExpectedTooLate(int ahead, double sentPerSecond, long waitsUntilMs, long nowMs) {
    return ahead > 0
        && expectedWaitMs(ahead, sentPerSecond) > HOPE * Math.max(0, waitsUntilMs - nowMs);
  }

  private static double expectedWaitMs(int ahead, double sentPerSecond) {
    return sentPerSecond <= 0 ? 0 : 1000.0 * ahead / sentPerSecond;
  }

  /**
   * Returns after how long a refused caller should come back, in milliseconds: when those waiting
   * now are gone, as far as the caller heeds it.
   *
   * @param sentPerSecond requests that this VM sends a second to the same upstreams; 0 while none
   *     of them can be reached, which calls for the longest time
   * @param random number from 0 to 1, to spread the callers
   */
  public long retryAfterMs(int waiting, double sentPerSecond, long remainingMs, double random) {
    double heeded = remainingMs * HEEDED_SHARE;
    double gone = sentPerSecond <= 0 ? heeded : expectedWaitMs(waiting + 1, sentPerSecond);
    double spread = Math.min(gone, heeded) * (0.5 + random / 2);
    return (long) Math.min(heeded, Math.max(LEAST_RETRY_AFTER_MS, spread));
  }
}
