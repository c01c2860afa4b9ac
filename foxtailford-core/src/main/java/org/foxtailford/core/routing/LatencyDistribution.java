package org.foxtailford.core.routing;

import org.HdrHistogram.Histogram;

/**
 * Estimates percentiles of the recent latencies of one service over all its upstreams. Thread-safe.
 *
 * <p>Two histograms alternate, one for the current period and one for the previous one. Percentiles
 * come from the current one as soon as it has at least half as many samples as the previous one.
 */
final class LatencyDistribution {

  private static final long MAX_MS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final long PERIOD_MS = 2000;
  private static final int SAMPLES_PER_REFRESH = 32;

  private Histogram current = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private Histogram previous = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private long periodStartMs = Long.MIN_VALUE;
  private int samplesSinceRefresh;
  private volatile long medianMs;
  private volatile long p95Ms;

  synchronized void record(long elapsedMs, long nowMs) {
    if (periodStartMs == Long.MIN_VALUE) {
      periodStartMs = nowMs;
    }
    if (nowMs - periodStartMs >= PERIOD_MS) {
      Histogram recycled = previous;
      previous = current;
      recycled.reset();
      current = recycled;
      periodStartMs = nowMs;
    }
    current.recordValue(Math.min(MAX_MS, Math.max(0, elapsedMs)));
    samplesSinceRefresh++;
    if (samplesSinceRefresh >= SAMPLES_PER_REFRESH) {
      refresh();
    }
  }

  private void refresh() {
    samplesSinceRefresh = 0;
    boolean enough = current.getTotalCount() >= previous.getTotalCount() / 2;
    Histogram source = enough ? current : previous;
    medianMs = source.getValueAtPercentile(50);
    p95Ms = source.getValueAtPercentile(95);
  }

  /** Returns the median in milliseconds; zero before the first refresh. */
  long medianMs() {
    return medianMs;
  }

  /** Returns the 95th percentile in milliseconds; zero before the first refresh. */
  long p95Ms() {
    return p95Ms;
  }
}
