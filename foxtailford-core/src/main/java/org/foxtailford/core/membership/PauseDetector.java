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
   * What one interval showed.
   *
   * @param lengthMs length of the pause, in milliseconds; zero if there was none
   * @param uncountedMs part of it that the elapsed-time clock did not count, in milliseconds
   */
  public record Pause(long lengthMs, long uncountedMs) {}

  /** Ends one interval and starts the next. */
  public Pause check() {
    long nowMs = clock.nowMs();
    long nowTimeOfDayMs = timeOfDayMs.getAsLong();
    long elapsedMs = nowMs - lastMs;
    long uncountedMs = nowTimeOfDayMs - lastTimeOfDayMs - elapsedMs;
    lastMs = nowMs;
    lastTimeOfDayMs = nowTimeOfDayMs;
    long gapMs = elapsedMs + Math.max(0, uncountedMs);
    return new Pause(orNone(gapMs), orNone(uncountedMs));
  }

  private long orNone(long ms) {
    return ms > toleratedMs ? ms : 0;
  }
}
