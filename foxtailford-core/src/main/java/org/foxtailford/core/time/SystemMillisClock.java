package org.foxtailford.core.time;

import java.util.concurrent.TimeUnit;

/** Elapsed-time clock of this process, based on {@link System#nanoTime()}. Thread-safe. */
public final class SystemMillisClock implements MillisClock {

  private final long originNanos = System.nanoTime();

  @Override
  public long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
  }
}
