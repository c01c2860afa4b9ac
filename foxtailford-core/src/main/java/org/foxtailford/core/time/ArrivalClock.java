package org.foxtailford.core.time;

import org.foxtailford.core.util.Assert;

/**
 * Tells how old what an event loop reads may be.
 *
 * <p>Each pass of the loop accepts every connection and reads from every one that has something, so
 * what it finds has arrived since the pass before looked. The loop is late if that was long ago:
 * the process was stopped, a task held it up, or there was that much to do. Confined to the event
 * loop.
 */
public final class ArrivalClock {

  /**
   * Age from which what is read counts as old, in milliseconds; half of the time in which the work
   * for a caller that has left must end. A loop without work looks once in 100 ms.
   */
  public static final long LATE_AFTER_MS = 250;

  private final MillisClock clock;
  private boolean started;
  private long pass;
  private long passBeginMs;
  private long lookedMs;

  /** Creates a clock whose loop is not late before its first pass. */
  public ArrivalClock(MillisClock clock) {
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Records that a pass begins to wait for something to read. */
  public void beginPass() {
    pass++;
    passBeginMs = clock.nowMs();
    if (!started) {
      started = true;
      lookedMs = passBeginMs;
    }
  }

  /**
   * Records the end of a pass.
   *
   * @param foundNothing whether there was nothing to read until then
   */
  public void endPass(boolean foundNothing) {
    lookedMs = foundNothing ? clock.nowMs() : passBeginMs;
  }

  /** Returns the number of the present pass. */
  public long pass() {
    return pass;
  }

  /**
   * Returns the longest time ago at which what is read now can have arrived, in milliseconds; 0 if
   * the loop is not late.
   */
  public long maxAgeMs() {
    long ageMs = started ? clock.nowMs() - lookedMs : 0;
    return ageMs > LATE_AFTER_MS ? ageMs : 0;
  }

  /** Returns whether what is read now may have arrived long ago. */
  public boolean isLate() {
    return maxAgeMs() > 0;
  }
}
