package org.foxtailford.testkit.simulation;

import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/** Clock of one node, with its own origin and rate. */
final class SkewedClock implements MillisClock {

  private static final long PARTS = 1_000_000;

  private final EventQueue queue;
  private final long originMs;
  private final long ratePpm;

  SkewedClock(EventQueue queue, long originMs, long ratePpm) {
    this.queue = Assert.notNull(queue, "queue");
    this.originMs = originMs;
    this.ratePpm = ratePpm;
  }

  @Override
  public long nowMs() {
    return originMs + Math.floorDiv(queue.nowMs() * (PARTS + ratePpm), PARTS);
  }
}
