package org.foxtailford.core.upstream;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the relative speed of each upstream of a service from what all entry VMs observe: the
 * slowness of its machine that it reports with each answer, and the service times of answers.
 *
 * <p>Reports come from busy upstreams too, and a few are enough; service times also show a slowness
 * that an upstream does not report, but only those of answers that did not wait can be used. The
 * service times therefore correct an expectation that follows from the reports. The weight of older
 * observations decays. Not thread-safe.
 */
public final class UpstreamSpeedEstimator {

  /** Number of answers that the expectation from the reports is worth. */
  private static final double PRIOR_ANSWERS = 8;

  /** Number of average reports from which the estimate of an upstream starts. */
  private static final double PRIOR_REPORTS = 1;

  /** Half-life of the weight of an observation, in milliseconds; hot keys change within minutes. */
  private static final double HALF_LIFE_MS = 20_000;

  /** Bounds of an estimated speed. */
  private static final double MIN_SPEED = 0.2;

  private static final double MAX_SPEED = 2.5;

  private static final class DecayingMean {
    private double count;
    private double total;
    private long atMs;

    private double decay(long nowMs) {
      return Math.pow(0.5, Math.max(0, nowMs - atMs) / HALF_LIFE_MS);
    }

    void add(double newCount, double newTotal, long nowMs) {
      double decay = decay(nowMs);
      count = count * decay + newCount;
      total = total * decay + newTotal;
      atMs = nowMs;
    }

    double mean() {
      return count == 0 ? 0 : total / count;
    }

    /** Returns the mean of the decayed observations and a number of expected ones. */
    double mean(double expected, double expectedCount, long nowMs) {
      double decay = decay(nowMs);
      return (decay * total + expectedCount * expected) / (decay * count + expectedCount);
    }
  }

  private static final class Observations {
    private final DecayingMean serviceMs = new DecayingMean();
    private final DecayingMean slowness = new DecayingMean();
  }

  private final Map<String, Observations> upstreams = new HashMap<>();
  private final Observations service = new Observations();

  /**
   * Adds answers of an upstream that did not wait there.
   *
   * @param answers number of answers; none are added unless it is positive
   * @param totalMs sum of their service times, in milliseconds; ignored if negative
   */
  public void add(String upstream, int answers, double totalMs, long nowMs) {
    if (answers > 0 && totalMs >= 0) {
      observations(upstream).serviceMs.add(answers, totalMs, nowMs);
      service.serviceMs.add(answers, totalMs, nowMs);
    }
  }

  /**
   * Adds load reports of an upstream.
   *
   * @param reports number of reports; none are added unless it is positive
   * @param totalSlowness sum of the slowness of its machine in them; ignored if not positive
   */
  public void addSlowness(String upstream, int reports, double totalSlowness, long nowMs) {
    if (reports > 0 && totalSlowness > 0) {
      observations(upstream).slowness.add(reports, totalSlowness, nowMs);
      service.slowness.add(reports, totalSlowness, nowMs);
    }
  }

  private Observations observations(String upstream) {
    return upstreams.computeIfAbsent(upstream, id -> new Observations());
  }

  /** Returns the average service time of the service's answers, in milliseconds; 0 if unknown. */
  public double averageMs() {
    return service.serviceMs.mean();
  }

  /**
   * Returns the speed of an upstream relative to the average of its service; 1 if unknown. It
   * returns to 1 while there are no answers, so that an upstream that was slow is tried again.
   */
  public double speed(String upstream, long nowMs) {
    Observations known = upstreams.get(upstream);
    if (known == null) {
      return 1;
    }
    double averageSlowness = service.slowness.mean();
    double relativeSlowness =
        averageSlowness == 0
            ? 1
            : known.slowness.mean(averageSlowness, PRIOR_REPORTS, nowMs) / averageSlowness;
    double averageMs = averageMs();
    double relativeMs =
        averageMs == 0
            ? relativeSlowness
            : known.serviceMs.mean(averageMs * relativeSlowness, PRIOR_ANSWERS, nowMs) / averageMs;
    return Math.max(MIN_SPEED, Math.min(MAX_SPEED, 1 / relativeMs));
  }

  /** Removes the observations of an upstream, but not those of the service. */
  public void remove(String upstream) {
    upstreams.remove(upstream);
  }
}
