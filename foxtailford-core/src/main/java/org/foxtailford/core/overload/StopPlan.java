package org.foxtailford.core.overload;

import org.foxtailford.core.util.Assert;

/**
 * Schedule of the graceful shutdown of an entry VM.
 *
 * <p>Callers may still be directed to this VM after it reports that it is not ready, if few other
 * VMs are ready. It therefore accepts connections as long as a request that arrives last still has
 * its full timeout before the process exits. Timeouts may change during the shutdown, so the plan
 * is asked with those in force.
 *
 * <p>A request on an open connection is taken if its time is up before the process exits, so that
 * its caller gets an answer in any case. During the minimum listening time, requests are taken
 * whatever their deadlines, as most need a fraction of their time.
 *
 * @param minListenMs minimum time for which new connections are accepted, in milliseconds
 * @param lastDeadlineMs time after which the time of a request must not end, in milliseconds
 * @param endMs time after which the process exits even if requests are unfinished, in milliseconds
 */
public record StopPlan(long minListenMs, long lastDeadlineMs, long endMs) {

  /** Fraction of the shutdown time that is reserved for the exit of the process. */
  private static final double RESERVE_SHARE = 0.07;

  /** Fraction of the shutdown time for the answers to requests whose time ends last. */
  private static final double ANSWER_SHARE = 0.01;

  /** Minimum fraction of the shutdown time during which new connections are accepted. */
  private static final double LISTEN_SHARE = 0.35;

  /**
   * Creates the schedule of a shutdown.
   *
   * @param stopMs time from the stop signal to the end of the process, in milliseconds; positive
   */
  public static StopPlan of(long stopMs) {
    Assert.isTrue(stopMs > 0, "stopMs must be positive");
    return new StopPlan(
        (long) (stopMs * LISTEN_SHARE),
        (long) (stopMs * (1 - RESERVE_SHARE - ANSWER_SHARE)),
        (long) (stopMs * (1 - RESERVE_SHARE)));
  }

  /**
   * Returns the time from the stop signal for which new connections are accepted, in milliseconds.
   *
   * @param maxRequestMs maximum duration of a request, in milliseconds
   */
  public long listenMs(long maxRequestMs) {
    Assert.isTrue(maxRequestMs >= 0, "maxRequestMs must not be negative");
    return Math.max(minListenMs, lastDeadlineMs - maxRequestMs);
  }

  /**
   * Returns whether a request may still be started.
   *
   * @param elapsedMs time since the stop signal, in milliseconds
   * @param deadlineMs time from the stop signal until the request's time is up, in milliseconds
   */
  public boolean mayStart(long elapsedMs, long deadlineMs) {
    return elapsedMs < minListenMs || deadlineMs <= lastDeadlineMs;
  }
}
