package org.foxtailford.core.routing;

import org.foxtailford.core.admission.SlotWindow;

/** What this VM has seen of one upstream while it sent it requests of one service. Thread-safe. */
final class UpstreamLoad {

  private static final double EWMA_WEIGHT = 0.2;
  private static final int OVERDUE_LIMIT = 2;
  private static final int GOOD_PROBES = 3;
  private static final long FIRST_PROBE_INTERVAL_MS = 50;
  private static final long MAX_PROBE_INTERVAL_MS = 800;
  private static final long DRAIN_HOLD_MS = 5000;

  private final SlotWindow window;
  private double ewmaMs;
  private int overdueInRow;
  private int goodProbes;
  private boolean onProbation;
  private long nextProbeMs;
  private long probeIntervalMs = FIRST_PROBE_INTERVAL_MS;
  private long heldUntilMs = Long.MIN_VALUE;

  UpstreamLoad(SlotWindow window) {
    this.window = window;
  }

  SlotWindow window() {
    return window;
  }

  synchronized boolean isOnProbation() {
    return onProbation;
  }

  /** Tells whether the upstream said recently that it is leaving. */
  synchronized boolean isDraining(long nowMs) {
    return nowMs < heldUntilMs;
  }

  synchronized boolean probeDue(long nowMs) {
    return onProbation && nowMs >= nextProbeMs && window.inFlight() == 0;
  }

  synchronized void probeStarted(long nowMs) {
    nextProbeMs = nowMs + probeIntervalMs;
  }

  synchronized void hold(long nowMs) {
    heldUntilMs = nowMs + DRAIN_HOLD_MS;
  }

  synchronized double ewmaMs() {
    return ewmaMs;
  }

  /**
   * Notes an answer.
   *
   * @return the EWMA latency
   */
  synchronized double answered(long elapsedMs, boolean slow) {
    ewmaMs = ewmaMs == 0 ? elapsedMs : ewmaMs + EWMA_WEIGHT * (elapsedMs - ewmaMs);
    if (slow) {
      goodProbes = 0;
      probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, 2 * probeIntervalMs);
      return ewmaMs;
    }
    probeIntervalMs = FIRST_PROBE_INTERVAL_MS;
    overdueInRow = 0;
    goodProbes++;
    if (onProbation && goodProbes >= GOOD_PROBES) {
      onProbation = false;
      ewmaMs = elapsedMs;
    }
    return ewmaMs;
  }

  /**
   * Notes that an answer is overdue.
   *
   * @return whether so many are that the upstream counts as a straggler
   */
  synchronized boolean recordOverdue() {
    overdueInRow++;
    goodProbes = 0;
    probeIntervalMs = Math.min(MAX_PROBE_INTERVAL_MS, 2 * probeIntervalMs);
    return overdueInRow >= OVERDUE_LIMIT;
  }

  synchronized void startProbation(long nowMs) {
    if (!onProbation) {
      onProbation = true;
      goodProbes = 0;
      probeIntervalMs = FIRST_PROBE_INTERVAL_MS;
      nextProbeMs = nowMs + probeIntervalMs;
    }
  }
}
