package org.foxtailford.core.routing;

import org.HdrHistogram.Histogram;

/**
 * Recent latencies of one service over all its upstreams. Thread-safe.
 *
 * <p>Two histograms take turns, so that percentiles cover the last one to two periods.
 */
final class LatencyDistribution {

  private static final long MAX_MS = 600_000;
  private static final int SIGNIFICANT_DIGITS = 2;
  private static final long PERIOD_MS = 2000;
  private static final int REFRESH_SAMPLES = 32;

  private Histogram current = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private Histogram previous = new Histogram(MAX_MS, SIGNIFICANT_DIGITS);
  private long periodStartMs = Long.MIN_VALUE;
  private int sinceRefresh;
  private volatile long medianMs;
  private volatile long p95Ms;

  synchronized void record(long elapsedMs, long nowMs) {
    if (periodStartMs == Long.MIN_VALUE) {
      periodStartMs = nowMs;
    }
    if (nowMs - periodStartMs >= PERIOD_MS) {
      Histogram reused = previous;
      previous = current;
      reused.reset();
      current = reused;
      periodStartMs = nowMs;
    }
    current.recordValue(Math.min(MAX_MS, Math.max(0, elapsedMs)));
    sinceRefresh++;
    if (sinceRefresh >= REFRESH_SAMPLES) {
      refresh();
    }
  }

  private void refresh() {
    sinceRefresh = 0;
    boolean enough = current.getTotalCount() >= previous.getTotalCount() / 2;
    Histogram basis = enough ? current : previous;
    medianMs = basis.getValueAtPercentile(50);
    p95Ms = basis.getValueAtPercentile(95);
  }

  /** Returns the median in milliseconds; zero until enough answers were seen. */
  long medianMs() {
    return medianMs;
  }

  /** Returns the 95th percentile in milliseconds; zero until enough answers were seen. */
  long p95Ms() {
    return p95Ms;
  }
}
