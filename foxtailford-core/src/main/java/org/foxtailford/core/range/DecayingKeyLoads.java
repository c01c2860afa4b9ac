package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Request counts of the keys of a service, which decay exponentially so that recent requests count
 * most. Not thread-safe.
 */
public final class DecayingKeyLoads {

  private static final long DECAY_INTERVAL_MS = 1000;

  private final double retentionPerSecond;
  private final float[] counts = new float[KeyRange.KEYS];
  private long decayedAtMs = Long.MIN_VALUE;
  private double total;

  /**
   * Creates counts of zero for all keys.
   *
   * @param retentionPerSecond factor by which the counts are multiplied each second; between 0 and
   *     1, both excluded
   */
  public DecayingKeyLoads(double retentionPerSecond) {
    Assert.isTrue(
        retentionPerSecond > 0 && retentionPerSecond < 1,
        "retentionPerSecond must be between 0 and 1");
    this.retentionPerSecond = retentionPerSecond;
  }

  /** Adds a number of requests to the count of a key. */
  public void add(int key, int requests, long nowMs) {
    decay(nowMs);
    counts[key] += requests;
    total += requests;
  }

  /** Applies the decay of all whole seconds that have passed since the last one. */
  public void decay(long nowMs) {
    if (decayedAtMs == Long.MIN_VALUE) {
      decayedAtMs = nowMs;
    }
    while (nowMs - decayedAtMs >= DECAY_INTERVAL_MS) {
      decayedAtMs += DECAY_INTERVAL_MS;
      total = 0;
      for (int key = 0; key < counts.length; key++) {
        counts[key] = counts[key] < 0.01 ? 0 : (float) (counts[key] * retentionPerSecond);
        total += counts[key];
      }
    }
  }

  /** Returns the load of a range, as the sum of its decayed request counts. */
  public double of(KeyRange range) {
    double sum = 0;
    for (int key = range.first(); key <= range.last(); key++) {
      sum += counts[key];
    }
    return sum;
  }

  /** Returns the load of all keys, in decayed requests. */
  public double total() {
    return total;
  }

  /** Returns the rate of requests whose steady decayed count is the present one, per second. */
  public double requestsPerSecond() {
    return total * (1 - retentionPerSecond);
  }

  /** Returns the load of one key, in decayed requests. */
  public double of(int key) {
    return counts[key];
  }

  /**
   * Returns the narrowest part of a range that has at least a given load, or the whole range if its
   * load is lower.
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
