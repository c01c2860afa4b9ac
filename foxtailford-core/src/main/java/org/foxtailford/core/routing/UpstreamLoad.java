package org.foxtailford.core.routing;

import org.foxtailford.core.admission.SlotWindow;

/** Load of one upstream by requests of one service, as observed by this VM. Thread-safe. */
final class UpstreamLoad {

  private static final double EWMA_WEIGHT = 0.2;
  // Consecutive overdue answers that start probation, and consecutive fast ones that end it.
  private static final int OVERDUE_ANSWERS_TO_PROBATION = 2;
  private static final int FAST_ANSWERS_TO_RECOVER = 3;
  // Bounds of the time between probes, which doubles with each slow or overdue answer.
  private static final long INITIAL_PROBE_INTERVAL_MS = 50;
  private static final long MAX_PROBE_INTERVAL_MS = 800;
  // Time without requests after the upstream refused one because it is draining.
  private static final long DRAIN_SUSPENSION_MS = 5000;

  private final SlotWindow window;
  private double ewmaMs;
  private int consecutiveOverdue;
  private int consecutiveFast;
  private boolean onProbation;
  private long nextProbeMs;
  private long probeIntervalMs = INITIAL_PROBE_INTERVAL_MS;
  private long drainingUntilMs = Long.MIN_VALUE;

  UpstreamLoad(SlotWindow window) {
    this.window = window;
  }

  SlotWindow window() {
    return window;
  }

  synchronized boolean isOnProbation() {
    return onProbation;
  }

  /** Returns whether the upstream recently refused a request because it is draining. */
  synchronized boolean isDraining(long nowMs) {
    return nowMs < drainingUntilMs;
  }

  synchronized boolean isProbeDue(long nowMs) {
    return onProbation && nowMs >= nextProbeMs && window.inFlight() == 0;
  }

  synchronized void recordProbe(long nowMs) {
    nextProbeMs = nowMs + probeIntervalMs;
  }

  synchronized void recordDraining(long nowMs) {
    drainingUntilMs = nowMs + DRAIN_SUSPENSION_MS;
  }

  synchronized double ewmaMs() {
    return ewmaMs;
  }

  /**
   * Records an answer.
   *
   * @param elapsedMs latency of the answer, in milliseconds
   * @param slow whether that is slow compared with the pool
   * @return the moving average of the latency, in milliseconds
   */
  synchronized double recordAnswer(long elapsedMs, boolean slow) {
    ewmaMs = ewmaMs == 0 ? elapsedMs : ewmaMs + EWMA_WEIGHT * (elapsedMs - ewmaMs);
    if (slow) {
      consecutiveFast = 0;
      probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, 2 * probeIntervalMs);
      return ewmaMs;
    }
    probeIntervalMs = INITIAL_PROBE_INTERVAL_MS;
    consecutiveOverdue = 0;
    consecutiveFast++;
    if (onProbation && consecutiveFast >= FAST_ANSWERS_TO_RECOVER) {
      onProbation = false;
      ewmaMs = elapsedMs;
    }
    return ewmaMs;
  }

  /**
   * Records that an answer is overdue.
   *
   * @return whether enough answers in a row are overdue to put the upstream on probation
   */
  synchronized boolean recordOverdue() {
    consecutiveOverdue++;
    consecutiveFast = 0;
    probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, 2 * probeIntervalMs);
    return consecutiveOverdue >= OVERDUE_ANSWERS_TO_PROBATION;
  }

  synchronized void startProbation(long nowMs) {
    if (!onProbation) {
      onProbation = true;
      consecutiveFast = 0;
      probeIntervalMs = INITIAL_PROBE_INTERVAL_MS;
      nextProbeMs = nowMs + probeIntervalMs;
    }
  }
}
