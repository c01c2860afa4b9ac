package org.foxtailford.core.time;

import java.util.concurrent.TimeUnit;

/** Clock of this process, based on {@link System#nanoTime()}. */
public final class SystemMillisClock implements MillisClock {

  private final long originNanos = System.nanoTime();

  @Override
  public long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
  }
}
