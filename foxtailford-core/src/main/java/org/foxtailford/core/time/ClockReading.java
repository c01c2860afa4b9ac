package org.foxtailford.core.time;

/**
 * Moment by a steady clock and by the time of day.
 *
 * <p>The steady clock may stand still while the process is paused, and the time of day may be set.
 * The age of a moment comes from the clock that has advanced more, for a right that must not be
 * used for longer than it lasts.
 *
 * @param steadyMs reading of the steady clock, in milliseconds
 * @param timeOfDayMs time of day, in Unix milliseconds
 */
public record ClockReading(long steadyMs, long timeOfDayMs) {

  /** Moment before all others. */
  public static final ClockReading LONG_AGO =
      new ClockReading(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

  /** Returns the time from this moment to a later one, in milliseconds. */
  public long ageMs(ClockReading now) {
    return Math.max(now.steadyMs - steadyMs, now.timeOfDayMs - timeOfDayMs);
  }

  /** Returns the moment that was a time before this one, in milliseconds. */
  public ClockReading minus(long ms) {
    return new ClockReading(steadyMs - ms, timeOfDayMs - ms);
  }
}
