package org.foxtailford.core.cost;

import org.HdrHistogram.HistogramIterationValue;
import org.HdrHistogram.IntCountsHistogram;

/** Decaying histogram of the costs of one class of requests. Not thread-safe. */
final class CostHistogram {

  /** Highest cost, in milliseconds; above it the class of a request does not matter. */
  private static final long MAX_COST_MS = 65_535;

  /** Counts of one sample; above 1 so that a decayed sample is still counted. */
  private static final int UNITS = 64;

  private IntCountsHistogram counts = newCounts();
  private long version;

  private static IntCountsHistogram newCounts() {
    return new IntCountsHistogram(1, MAX_COST_MS, 1);
  }

  void add(double costMs, double weight) {
    long units = Math.round(UNITS * weight);
    if (units > 0) {
      long valueMs = Math.max(1, Math.min(MAX_COST_MS, Math.round(costMs)));
      counts.recordValueWithCount(valueMs, units);
      version++;
    }
  }

  /** Multiplies all counts by a factor below 1. */
  void decay(double factor) {
    IntCountsHistogram decayed = newCounts();
    for (HistogramIterationValue value : counts.recordedValues()) {
      long units = (long) (factor * value.getCountAtValueIteratedTo());
      if (units > 0) {
        decayed.recordValueWithCount(value.getValueIteratedTo(), units);
      }
    }
    counts = decayed;
    version++;
  }

  /** Returns the decayed number of samples. */
  double samples() {
    return (double) counts.getTotalCount() / UNITS;
  }

  /** Returns a number that differs after each change. */
  long version() {
    return version;
  }

  /** Returns the estimated memory that this histogram occupies, in bytes. */
  int bytes() {
    return counts.getEstimatedFootprintInBytes();
  }

  CostDistribution distribution() {
    double[] buckets = new double[CostDistribution.BUCKETS];
    for (HistogramIterationValue value : counts.recordedValues()) {
      double costMs = counts.medianEquivalentValue(value.getValueIteratedTo());
      buckets[CostDistribution.bucket(costMs)] += value.getCountAtValueIteratedTo();
    }
    return new CostDistribution(buckets);
  }
}
