package org.foxtailford.core.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the relative speed of each upstream of a service from the service times observed by all
 * entry VMs.
 *
 * <p>The weight of older answers decays. Since few answers say little about an upstream, each
 * estimate starts from a prior of average answers. Not thread-safe.
 */
public final class UpstreamSpeedEstimator {

  /** Number of average answers from which the estimate of an upstream starts. */
  private static final double PRIOR_ANSWERS = 8;

  /** Half-life of the weight of an answer, in milliseconds; hot keys change within minutes. */
  private static final double HALF_LIFE_MS = 20_000;

  /** Bounds of an estimated speed. */
  private static final double MIN_SPEED = 0.4;

  private static final double MAX_SPEED = 2.5;

  private static final class DecayingSum {
    private double answers;
    private double totalMs;
    private long atMs;

    void add(double newAnswers, double newTotalMs, long nowMs) {
      double decay = Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
      answers = answers * decay + newAnswers;
      totalMs = totalMs * decay + newTotalMs;
      atMs = nowMs;
    }
  }

  private final Map<String, DecayingSum> upstreams = new HashMap<>();
  private final DecayingSum service = new DecayingSum();

  /**
   * Adds answers of an upstream.
   *
   * @param answers number of answers; none are added unless it is positive
   * @param totalMs sum of the service times of these answers, in milliseconds; ignored if negative
   */
  public void add(String upstream, int answers, double totalMs, long nowMs) {
    if (answers > 0 && totalMs >= 0) {
      upstreams.computeIfAbsent(upstream, id -> new DecayingSum()).add(answers, totalMs, nowMs);
      service.add(answers, totalMs, nowMs);
    }
  }

  /** Returns the speed of an upstream relative to the average of its service; 1 if unknown. */
  public double speed(String upstream) {
    DecayingSum sum = upstreams.get(upstream);
    if (sum == null || service.answers == 0 || service.totalMs == 0) {
      return 1;
    }
    double serviceMs = service.totalMs / service.answers;
    double upstreamMs = (sum.totalMs + PRIOR_ANSWERS * serviceMs) / (sum.answers + PRIOR_ANSWERS);
    return Math.max(MIN_SPEED, Math.min(MAX_SPEED, serviceMs / upstreamMs));
  }

  /** Removes the answers of an upstream from the estimates, but not from the service average. */
  public void remove(String upstream) {
    upstreams.remove(upstream);
  }
}
