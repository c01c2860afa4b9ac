package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/** Recent requests for each key of a service, older ones fading. Not thread-safe. */
public final class DecayingKeyLoads {

  private static final long FADE_EVERY_MS = 1000;

  private final double keptPerSecond;
  private final float[] counts = new float[KeyRange.KEYS];
  private long fadedAtMs = Long.MIN_VALUE;
  private double total;

  /**
   * Creates a book without requests.
   *
   * @param keptPerSecond part of the requests that counts a second later, below 1
   */
  public DecayingKeyLoads(double keptPerSecond) {
    Assert.isTrue(keptPerSecond > 0 && keptPerSecond < 1, "keptPerSecond must be between 0 and 1");
    this.keptPerSecond = keptPerSecond;
  }

  /** Adds requests for a key. */
  public void add(int key, int requests, long nowMs) {
    decay(nowMs);
    counts[key] += requests;
    total += requests;
  }

  /** Lets older requests fade. */
  public void decay(long nowMs) {
    if (fadedAtMs == Long.MIN_VALUE) {
      fadedAtMs = nowMs;
    }
    while (nowMs - fadedAtMs >= FADE_EVERY_MS) {
      fadedAtMs += FADE_EVERY_MS;
      total = 0;
      for (int key = 0; key < counts.length; key++) {
        counts[key] = counts[key] < 0.01 ? 0 : (float) (counts[key] * keptPerSecond);
        total += counts[key];
      }
    }
  }

  /** Returns the load of a range, in fading requests. */
  public double of(KeyRange range) {
    double sum = 0;
    for (int key = range.first(); key <= range.last(); key++) {
      sum += counts[key];
    }
    return sum;
  }

  /** Returns the load of all keys. */
  public double total() {
    return total;
  }

  /** Returns the load of one key. */
  public double of(int key) {
    return counts[key];
  }

  /**
   * Returns the narrowest part of a range with at least some load, or the whole range if it has
   * less.
   */
  public KeyRange narrowest(KeyRange range, double load) {
    int bestFirst = range.first();
    int bestLast = range.last();
    int first = range.first();
    double sum = 0;
    for (int last = range.first(); last <= range.last(); last++) {
      sum += counts[last];
      while (first < last && sum - counts[first] >= load) {
        sum -= counts[first];
        first++;
      }
      if (sum >= load && last - first < bestLast - bestFirst) {
        bestFirst = first;
        bestLast = last;
      }
    }
    return new KeyRange(bestFirst, bestLast);
  }
}
