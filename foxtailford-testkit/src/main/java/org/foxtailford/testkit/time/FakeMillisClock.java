package org.foxtailford.testkit.time;

import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/** Clock that moves only when a test says so. Thread-safe. */
public final class FakeMillisClock implements MillisClock {

  private final AtomicLong nowMs = new AtomicLong();

  @Override
  public long nowMs() {
    return nowMs.get();
  }

  /** Moves the clock forward. */
  public void advance(long ms) {
    Assert.isTrue(ms >= 0, "ms must not be negative");
    nowMs.addAndGet(ms);
  }
}
