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

  private final Map<String, Map<Integer, Integer>> keyCounts = new HashMap<>();
  private final Map<String, WorkTime.Builder> workTimes = new HashMap<>();

  void countKey(String service, int key) {
    keyCounts.computeIfAbsent(service, name -> new HashMap<>()).merge(key, 1, Integer::sum);
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

  /** Returns the request counts by service and key, and resets them. */
  Map<String, Map<Integer, Integer>> drainKeyCounts() {
    Map<String, Map<Integer, Integer>> drained = new HashMap<>(keyCounts);
    keyCounts.clear();
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
