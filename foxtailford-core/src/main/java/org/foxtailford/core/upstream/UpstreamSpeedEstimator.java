package org.foxtailford.core.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * How long each upstream of a service works on a request, as all entry VMs saw it; older answers
 * fade.
 *
 * <p>Few answers say little about an upstream, so each begins with some usual ones. Not
 * thread-safe.
 */
public final class UpstreamSpeedEstimator {

  /** Usual answers that an upstream begins with. */
  private static final double FIRST_ANSWERS = 8;

  /**
   * Time in which half of the answers are forgotten, in milliseconds; hot keys change in minutes.
   */
  private static final double HALF_LIFE_MS = 20_000;

  /** Bounds of what is believed of a speed. */
  private static final double LEAST_SPEED = 0.4;

  private static final double MOST_SPEED = 2.5;

  private static final class Sum {
    private double answers;
    private double totalMs;
    private long atMs;

    void add(double newAnswers, double newTotalMs, long nowMs) {
      double kept = Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
      answers = answers * kept + newAnswers;
      totalMs = totalMs * kept + newTotalMs;
      atMs = nowMs;
    }
  }

  private final Map<String, Sum> upstreams = new HashMap<>();
  private final Sum service = new Sum();

  /** Adds answers of an upstream and the time that they took together, in milliseconds. */
  public void add(String upstream, int answers, double totalMs, long nowMs) {
    if (answers > 0 && totalMs >= 0) {
      upstreams.computeIfAbsent(upstream, id -> new Sum()).add(answers, totalMs, nowMs);
      service.add(answers, totalMs, nowMs);
    }
  }

  /** Returns how fast an upstream works, 1 for the usual of its service. */
  public double speed(String upstream) {
    Sum sum = upstreams.get(upstream);
    if (sum == null || service.answers == 0 || service.totalMs == 0) {
      return 1;
    }
    double usualMs = service.totalMs / service.answers;
    double ownMs = (sum.totalMs + FIRST_ANSWERS * usualMs) / (sum.answers + FIRST_ANSWERS);
    return Math.max(LEAST_SPEED, Math.min(MOST_SPEED, usualMs / ownMs));
  }

  /** Forgets an upstream. */
  public void forget(String upstream) {
    upstreams.remove(upstream);
  }
}
