package org.foxtailford.core.overload;

import org.foxtailford.core.util.Assert;

/**
 * When a stopping entry VM takes its last new connection, and when it ends at the latest.
 *
 * <p>Callers may be sent here for as long as it listens, also after it said that it is not ready,
 * if few others are. So it listens for as long as a request that comes last still has its whole
 * time.
 *
 * @param listenMs time for which new connections are taken, in milliseconds
 * @param endMs time after which the process ends, whatever is left, in milliseconds
 */
public record StopPlan(long listenMs, long endMs) {

  /** Part of the time to stop that is kept for the end itself. */
  private static final double RESERVE_SHARE = 0.07;

  /** Part of the time to stop for which new connections are taken in any case. */
  private static final double LISTEN_SHARE = 0.35;

  /**
   * Plans a stop.
   *
   * @param stopMs time from the order to stop to the end, in milliseconds
   * @param longestRequestMs longest time that a request may take, in milliseconds
   */
  public static StopPlan of(long stopMs, long longestRequestMs) {
    Assert.isTrue(stopMs > 0, "stopMs must be positive");
    Assert.isTrue(longestRequestMs >= 0, "longestRequestMs must not be negative");
    long end = (long) (stopMs * (1 - RESERVE_SHARE));
    long listen = Math.max((long) (stopMs * LISTEN_SHARE), end - longestRequestMs);
    return new StopPlan(Math.min(listen, end), end);
  }
}
