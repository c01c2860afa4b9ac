package org.foxtailford.entry.control;

import org.foxtailford.core.time.ClockReading;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.PauseAwareClock;
import org.foxtailford.core.util.Assert;

/**
 * Clocks of this VM.
 *
 * @param steady monotonic clock that may not advance while the process is paused
 * @param pauseAware clock that does, for the ages of copies and to detect pauses
 * @param timeOfDay Unix time, for what lasts longer than a process; it differs between VMs
 */
public record ControlClocks(MillisClock steady, PauseAwareClock pauseAware, MillisClock timeOfDay) {

  /** Creates the clocks, none of which may be null. */
  public ControlClocks {
    Assert.notNull(steady, "steady");
    Assert.notNull(pauseAware, "pauseAware");
    Assert.notNull(timeOfDay, "timeOfDay");
  }

  /** Reads the steady clock and the time of day. */
  ClockReading read() {
    return new ClockReading(steady.nowMs(), timeOfDay.nowMs());
  }

  /** Returns the clocks of a process with a given monotonic clock and time of day. */
  public static ControlClocks of(MillisClock steady, MillisClock timeOfDay) {
    return new ControlClocks(
        steady,
        new PauseAwareClock(steady, timeOfDay, ControlTiming.PAUSE_THRESHOLD_MS),
        timeOfDay);
  }
}
