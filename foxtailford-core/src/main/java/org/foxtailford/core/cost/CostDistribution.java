package org.foxtailford.core.cost;

/**
 * Distribution of the cost of requests, in milliseconds of an upstream of speed 1 that is not slow.
 * Look-ups take constant time, so that the choice can compare many upstreams. Immutable.
 */
public final class CostDistribution {

  /** Number of buckets; four for each power of two from 1 ms, so that the last begins at 57 s. */
  public static final int BUCKETS = 64;

  private static final int MANTISSA_SHIFT = 21;
  private static final int FIRST_BITS = Float.floatToRawIntBits(1) >> MANTISSA_SHIFT;

  private final double meanMs;
  private final double residualMs;
  private final float[] exceeding = new float[BUCKETS + 1];
  private final float[] remainingMs = new float[BUCKETS + 1];

  /**
   * Creates a distribution.
   *
   * @param counts number of requests by bucket of their cost; at least one is positive
   */
  public CostDistribution(double[] counts) {
    double total = 0;
    double sum = 0;
    double squares = 0;
    for (int i = BUCKETS - 1; i >= 0; i--) {
      double costMs = midMs(i);
      total += counts[i];
      sum += counts[i] * costMs;
      squares += counts[i] * costMs * costMs;
      exceeding[i] = (float) total;
      remainingMs[i] = total == 0 ? 0 : (float) (sum / total);
    }
    for (int i = 0; i < BUCKETS; i++) {
      exceeding[i] /= (float) total;
    }
    meanMs = sum / total;
    residualMs = squares / (2 * sum);
  }

  /** Returns the bucket of a cost, in milliseconds. */
  public static int bucket(double costMs) {
    if (costMs < 1) {
      return 0;
    }
    int bucket = (Float.floatToRawIntBits((float) costMs) >> MANTISSA_SHIFT) - FIRST_BITS;
    return Math.min(BUCKETS - 1, bucket);
  }

  /** Returns the lowest cost of a bucket, in milliseconds. */
  static double lowerMs(int bucket) {
    return Float.intBitsToFloat((bucket + FIRST_BITS) << MANTISSA_SHIFT);
  }

  /** Returns the cost that stands for all costs of a bucket, in milliseconds. */
  static double midMs(int bucket) {
    return (lowerMs(bucket) + lowerMs(bucket + 1)) / 2;
  }

  /** Returns the expected cost, in milliseconds. */
  public double meanMs() {
    return meanMs;
  }

  /** Returns the expected remaining cost of a running request seen at a random time. */
  public double residualMs() {
    return residualMs;
  }

  /** Returns the probability that a request costs more than a number of milliseconds. */
  public double probabilityAbove(double costMs) {
    if (costMs <= 0) {
      return 1;
    }
    int bucket = bucket(costMs);
    double lower = lowerMs(bucket);
    double part = Math.min(1, Math.max(0, (costMs - lower) / (lowerMs(bucket + 1) - lower)));
    return exceeding[bucket] + part * (exceeding[bucket + 1] - exceeding[bucket]);
  }

  /**
   * Returns the expected remaining cost of a request that has used some of it, in milliseconds.
   * Beyond all known costs it is half of what was used, so that it grows with the time.
   */
  public double remainingMs(double usedMs) {
    if (usedMs < 1) {
      return meanMs;
    }
    int bucket = bucket(usedMs);
    double expectedMs = remainingMs[bucket];
    if (expectedMs > usedMs) {
      return expectedMs - usedMs;
    }
    double laterMs = remainingMs[bucket + 1];
    return laterMs > usedMs ? laterMs - usedMs : usedMs / 2;
  }
}
