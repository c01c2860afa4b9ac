package org.foxtailford.core.time;

import org.foxtailford.core.util.Assert;

/**
 * Clock that also advances while the process is paused and its elapsed-time clock stands still. Not
 * thread-safe.
 *
 * <p>A pause shows as an advance of the time of day that the elapsed-time clock doesn't have. A
 * time of day that is set forward looks the same, so this clock may run ahead: it suits the age of
 * data, which may be overestimated, but not the expiry of another process's right.
 */
public final class PauseAwareClock implements MillisClock {

  private final MillisClock elapsed;
  private final MillisClock timeOfDay;
  private final long minPauseMs;
  private long offsetMs;
  private long totalPauseMs;

  /**
   * Creates a clock.
   *
   * @param minPauseMs difference between the two clocks' advances from which it counts as a pause,
   *     in milliseconds
   */
  public PauseAwareClock(MillisClock elapsed, MillisClock timeOfDay, long minPauseMs) {
    this.elapsed = Assert.notNull(elapsed, "elapsed");
    this.timeOfDay = Assert.notNull(timeOfDay, "timeOfDay");
    this.minPauseMs = minPauseMs;
    this.offsetMs = timeOfDay.nowMs() - elapsed.nowMs();
  }

  @Override
  public long nowMs() {
    long elapsedMs = elapsed.nowMs();
    long newOffsetMs = timeOfDay.nowMs() - elapsedMs;
    if (newOffsetMs - offsetMs > minPauseMs) {
      totalPauseMs += newOffsetMs - offsetMs;
    }
    offsetMs = newOffsetMs;
    return elapsedMs + totalPauseMs;
  }

  /** Returns the length of all pauses up to the present, in milliseconds. */
  public long totalPauseMs() {
    return nowMs() - elapsed.nowMs();
  }
}
