package org.foxtailford.core.membership;

import java.util.function.LongSupplier;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Detects pauses during which this process did not run.
 *
 * <p>A pause shows as a gap between two calls on the elapsed-time clock. Where that clock is
 * stopped while the VM is frozen, it shows as an advance of the wall clock that the elapsed-time
 * clock doesn't have. Not thread-safe.
 */
public final class PauseDetector {

  private final MillisClock clock;
  private final LongSupplier wallClockMs;
  private final long maxGapMs;
  private long lastElapsedMs;
  private long lastWallClockMs;

  /**
   * Creates a detector; the first interval starts now.
   *
   * @param clock elapsed-time clock
   * @param wallClockMs returns the wall-clock time, in milliseconds
   * @param maxGapMs maximum gap between two calls that is not a pause, in milliseconds
   */
  public PauseDetector(MillisClock clock, LongSupplier wallClockMs, long maxGapMs) {
    this.clock = Assert.notNull(clock, "clock");
    this.wallClockMs = Assert.notNull(wallClockMs, "wallClockMs");
    Assert.isTrue(maxGapMs > 0, "maxGapMs must be positive");
    this.maxGapMs = maxGapMs;
    this.lastElapsedMs = clock.nowMs();
    this.lastWallClockMs = wallClockMs.getAsLong();
  }

  /**
   * Result of one interval.
   *
   * @param lengthMs length of the pause, in milliseconds; zero if there was none
   * @param uncountedMs part of it that the elapsed-time clock did not count, in milliseconds; zero
   *     if that is within the tolerance
   */
  public record Pause(long lengthMs, long uncountedMs) {}

  /** Ends the current interval, starts the next one, and returns the pause in the ended one. */
  public Pause check() {
    long nowMs = clock.nowMs();
    long nowWallClockMs = wallClockMs.getAsLong();
    long elapsedMs = nowMs - lastElapsedMs;
    long uncountedMs = nowWallClockMs - lastWallClockMs - elapsedMs;
    lastElapsedMs = nowMs;
    lastWallClockMs = nowWallClockMs;
    long gapMs = elapsedMs + Math.max(0, uncountedMs);
    return new Pause(zeroIfTolerated(gapMs), zeroIfTolerated(uncountedMs));
  }

  private long zeroIfTolerated(long ms) {
    return ms > maxGapMs ? ms : 0;
  }
}
