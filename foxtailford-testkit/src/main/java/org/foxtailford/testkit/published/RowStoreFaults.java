package org.foxtailford.testkit.published;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Faults that the stand-in for the row store simulates. Thread-safe. */
public final class RowStoreFaults {

  private final AtomicBoolean unavailable = new AtomicBoolean();
  private final AtomicInteger remainingLostAnswers = new AtomicInteger();
  private volatile long delayMs;

  /** Sets whether the store rejects every call with status 503. */
  public void setUnavailable(boolean newUnavailable) {
    unavailable.set(newUnavailable);
  }

  /**
   * Makes the next writes take effect without an answer.
   *
   * @param count number of writes
   */
  public void loseWriteAnswers(int count) {
    remainingLostAnswers.set(count);
  }

  /** Sets the delay before each call is processed, in milliseconds. */
  public void setDelayMs(long newDelayMs) {
    delayMs = newDelayMs;
  }

  boolean isUnavailable() {
    return unavailable.get();
  }

  /** Returns whether the current write gets no answer, and counts it if so. */
  boolean consumeLostAnswer() {
    return remainingLostAnswers.getAndUpdate(count -> Math.max(0, count - 1)) > 0;
  }

  long delayMs() {
    return delayMs;
  }
}
