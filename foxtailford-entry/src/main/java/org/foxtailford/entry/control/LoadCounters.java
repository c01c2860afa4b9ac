package org.foxtailford.entry.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.schema.entry.WorkTime;

/**
 * Counts requests for keys, and answers of upstreams that hold keys, between two reports to the
 * leader. Not thread-safe.
 */
final class LoadCounters {

  /** Limit that stands for none at all in a report, where 0 means that it is not known. */
  private static final double MIN_LIMIT = 1e-6;

  /** Fraction of a request below which a rest is dropped, so that rests don't pile up. */
  private static final double MIN_REST = 0.05;

  private final Map<String, Map<Integer, Double>> keyCounts = new HashMap<>();
  private final Map<String, WorkTime.Builder> workTimes = new HashMap<>();

  /**
   * Counts a request for a key.
   *
   * @param relativeCost expected cost of the request; 1 is the average of its service
   */
  void countKey(String service, int key, double relativeCost) {
    keyCounts
        .computeIfAbsent(service, name -> new HashMap<>())
        .merge(key, relativeCost, Double::sum);
  }

  void countSlowness(UpstreamEntry upstream, double slowness) {
    WorkTime.Builder workTime = workTime(upstream);
    workTime
        .setLoadReports(workTime.getLoadReports() + 1)
        .setSlownessPercent(workTime.getSlownessPercent() + Math.round(100 * slowness));
  }

  void countWork(UpstreamEntry upstream, double tookMs) {
    WorkTime.Builder workTime = workTime(upstream);
    workTime
        .setAnswers(workTime.getAnswers() + 1)
        .setTotalMs(workTime.getTotalMs() + Math.round(tookMs));
  }

  void countLimit(UpstreamEntry upstream, OptionalDouble perSecond) {
    double known = perSecond.isPresent() ? Math.max(MIN_LIMIT, perSecond.getAsDouble()) : -1;
    workTime(upstream).setLimitPerSecond(known);
  }

  private WorkTime.Builder workTime(UpstreamEntry upstream) {
    return workTimes.computeIfAbsent(
        upstream.id(), id -> WorkTime.newBuilder().setUpstream(id).setService(upstream.service()));
  }

  /**
   * Returns the request counts by service and key, and resets them. They are whole numbers, as in a
   * report; what rounding leaves is counted with the next ones.
   */
  Map<String, Map<Integer, Integer>> drainKeyCounts() {
    Map<String, Map<Integer, Integer>> drained = new HashMap<>();
    keyCounts.forEach(
        (service, counts) -> {
          Map<Integer, Integer> whole = new HashMap<>();
          counts.replaceAll(
              (key, count) -> {
                int requests = (int) Math.min(Integer.MAX_VALUE, Math.floor(count));
                if (requests > 0) {
                  whole.put(key, requests);
                }
                return count - requests;
              });
          counts.values().removeIf(rest -> rest < MIN_REST);
          if (!whole.isEmpty()) {
            drained.put(service, whole);
          }
        });
    keyCounts.values().removeIf(Map::isEmpty);
    return drained;
  }

  /** Returns the work times of upstreams, and resets them. */
  List<WorkTime> drainWorkTimes() {
    List<WorkTime> drained = new ArrayList<>();
    workTimes.values().forEach(workTime -> drained.add(workTime.build()));
    workTimes.clear();
    return drained;
  }
}
