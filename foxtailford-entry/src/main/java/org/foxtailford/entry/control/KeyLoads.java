package org.foxtailford.entry.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.foxtailford.core.range.KeyLoadHistory;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamSpeedEstimator;
import org.foxtailford.schema.entry.KeyLoad;
import org.foxtailford.schema.entry.WorkTime;

/**
 * Collects the load of keys and the speed of upstreams for all services, from the reports that the
 * leader receives. Not thread-safe.
 */
final class KeyLoads {

  /**
   * Time for which a limit is believed if no answer of its upstream is reported, in milliseconds.
   */
  private static final long LIMIT_MEMORY_MS = 30_000;

  private record Limit(double perSecond, long atMs) {}

  private final Map<String, KeyLoadHistory> histories = new HashMap<>();

  private final Map<String, UpstreamSpeedEstimator> speedEstimators = new HashMap<>();
  private final Map<String, Limit> limits = new HashMap<>();

  KeyLoadHistory historyOf(String service) {
    return histories.computeIfAbsent(service, name -> new KeyLoadHistory());
  }

  void add(Map<String, Map<Integer, Integer>> counts, long nowMs) {
    counts.forEach(
        (service, keys) -> keys.forEach((key, count) -> historyOf(service).add(key, count, nowMs)));
  }

  /** Returns an upstream's speed relative to the average of its service; 1 if unknown. */
  double speed(UpstreamEntry upstream, long nowMs) {
    UpstreamSpeedEstimator estimator = speedEstimators.get(upstream.service());
    return estimator == null ? 1 : estimator.speed(upstream.id(), nowMs);
  }

  /** Returns how many slots of average speed a service's requests keep busy; 0 if unknown. */
  double busySlots(String service) {
    UpstreamSpeedEstimator estimator = speedEstimators.get(service);
    double averageMs = estimator == null ? 0 : estimator.averageMs();
    return historyOf(service).requestsPerSecond() * averageMs / 1000;
  }

  /**
   * Returns how many slots of average speed an upstream may keep busy by the limit that it named;
   * empty if it named none, or the service time is not known.
   */
  OptionalDouble limitedSlots(UpstreamEntry upstream, long nowMs) {
    limits.values().removeIf(limit -> nowMs - limit.atMs() > LIMIT_MEMORY_MS);
    Limit limit = limits.get(upstream.id());
    UpstreamSpeedEstimator estimator = speedEstimators.get(upstream.service());
    boolean known = limit != null && estimator != null && estimator.averageMs() > 0;
    return known
        ? OptionalDouble.of(limit.perSecond() * estimator.averageMs() / 1000)
        : OptionalDouble.empty();
  }

  void addWorkTimes(List<WorkTime> workTimes, long nowMs) {
    for (WorkTime workTime : workTimes) {
      UpstreamSpeedEstimator estimator =
          speedEstimators.computeIfAbsent(
              workTime.getService(), name -> new UpstreamSpeedEstimator());
      String upstream = workTime.getUpstream();
      if (workTime.getLimitPerSecond() > 0) {
        limits.put(upstream, new Limit(workTime.getLimitPerSecond(), nowMs));
      } else if (workTime.getLimitPerSecond() < 0) {
        limits.remove(upstream);
      }
      estimator.add(upstream, workTime.getAnswers(), workTime.getTotalMs(), nowMs);
      estimator.addSlowness(
          upstream, workTime.getLoadReports(), workTime.getSlownessPercent() / 100.0, nowMs);
    }
  }

  void add(List<KeyLoad> loads, long nowMs) {
    for (KeyLoad load : loads) {
      if (load.getKey() >= 0 && load.getKey() < KeyRange.KEYS) {
        historyOf(load.getService()).add(load.getKey(), load.getRequests(), nowMs);
      }
    }
  }
}
