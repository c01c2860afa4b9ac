package org.foxtailford.core.overload;

/**
 * Measures the rate of events over about the last second.
 *
 * <p>Events are counted in buckets of 250 ms, whose rates are averaged with exponential decay. Not
 * thread-safe.
 */
public final class RateMeter {

  private static final long BUCKET_MS = 250;

  private static final double SMOOTHING_FACTOR = 0.35;

  private long bucket = Long.MIN_VALUE;
  private int count;
  private double perSecond;

  /** Records one event. */
  public void count(long nowMs) {
    advance(nowMs);
    count++;
  }

  /** Returns the smoothed rate, in events per second; the current bucket is not included. */
  public double perSecond(long nowMs) {
    advance(nowMs);
    return perSecond;
  }

  private void advance(long nowMs) {
    long now = Math.floorDiv(nowMs, BUCKET_MS);
    if (bucket == Long.MIN_VALUE) {
      bucket = now;
    }
    // After 20 empty buckets the rate is negligible, so further ones are skipped.
    for (int i = 0; bucket < now && i < 20; i++) {
      double latest = count * 1000.0 / BUCKET_MS;
      perSecond += SMOOTHING_FACTOR * (latest - perSecond);
      count = 0;
      bucket++;
    }
    bucket = now;
  }
}
