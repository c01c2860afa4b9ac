package org.foxtailford.testkit.published;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults of the stand-in of the store; may be changed at any time. */
public final class RowStoreFaults {

  private final AtomicBoolean down = new AtomicBoolean();
  private final AtomicInteger lostWrites = new AtomicInteger();
  private volatile long delayMs;

  /** Lets the store refuse every call, or ends that. */
  public void setUnavailable(boolean isDown) {
    down.set(isDown);
  }

  /** Lets the next writes be done without an answer. */
  public void loseWriteAnswers(int count) {
    lostWrites.set(count);
  }

  /** Sets how long each answer takes, in milliseconds. */
  public void setDelayMs(long newDelayMs) {
    delayMs = newDelayMs;
  }

  boolean isDown() {
    return down.get();
  }

  boolean losesWrite() {
    return lostWrites.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }

  long delayMs() {
    return delayMs;
  }
}
