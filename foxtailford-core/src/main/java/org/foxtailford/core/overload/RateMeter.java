package org.foxtailford.core.overload;

/** Rate of events over about the last second. Not thread-safe. */
public final class RateMeter {

  private static final long PART_MS = 250;

  private static final double WEIGHT = 0.35;

  private long part = Long.MIN_VALUE;
  private int count;
  private double perSecond;

  /** Counts an event. */
  public void count(long nowMs) {
    advance(nowMs);
    count++;
  }

  /** Returns events a second. */
  public double perSecond(long nowMs) {
    advance(nowMs);
    return perSecond;
  }

  private void advance(long nowMs) {
    long now = Math.floorDiv(nowMs, PART_MS);
    if (part == Long.MIN_VALUE) {
      part = now;
    }
    for (int i = 0; part < now && i < 20; i++) {
      double latest = count * 1000.0 / PART_MS;
      perSecond += WEIGHT * (latest - perSecond);
      count = 0;
      part++;
    }
    part = now;
  }
}
