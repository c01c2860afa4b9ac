package org.foxtailford.core.membership;

import java.util.function.LongSupplier;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Notices that this process did not run for a while.
 *
 * <p>A pause shows as a gap between two calls on the elapsed-time clock, or, where that clock
 * stands still while the VM is frozen, as a gap on the time of day that the elapsed-time clock does
 * not have. Not thread-safe.
 */
public final class PauseDetector {

  private final MillisClock clock;
  private final LongSupplier timeOfDayMs;
  private final long toleratedMs;
  private long lastMs;
  private long lastTimeOfDayMs;

  /**
   * Creates a detector; the first interval starts now.
   *
   * @param clock elapsed time
   * @param timeOfDayMs time of day, in milliseconds
   * @param toleratedMs longest gap between two calls that is no pause, in milliseconds
   */
  public PauseDetector(MillisClock clock, LongSupplier timeOfDayMs, long toleratedMs) {
    this.clock = Assert.notNull(clock, "clock");
    this.timeOfDayMs = Assert.notNull(timeOfDayMs, "timeOfDayMs");
    Assert.isTrue(toleratedMs > 0, "toleratedMs must be positive");
    this.toleratedMs = toleratedMs;
    this.lastMs = clock.nowMs();
    this.lastTimeOfDayMs = timeOfDayMs.getAsLong();
  }

  /**
   * Ends one interval and starts the next.
   *
   * @return the length of the pause in milliseconds; zero if there was none
   */
  public long check() {
    long nowMs = clock.nowMs();
    long nowTimeOfDayMs = timeOfDayMs.getAsLong();
    long gapMs = Math.max(nowMs - lastMs, nowTimeOfDayMs - lastTimeOfDayMs);
    lastMs = nowMs;
    lastTimeOfDayMs = nowTimeOfDayMs;
    return gapMs > toleratedMs ? gapMs : 0;
  }
}
