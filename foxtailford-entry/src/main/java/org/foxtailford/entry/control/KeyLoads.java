package org.foxtailford.entry.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailford.core.range.KeyLoadHistory;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.upstream.UpstreamSpeedEstimator;
import org.foxtailford.schema.entry.KeyLoad;
import org.foxtailford.schema.entry.WorkTime;

/** Load of the keys and speed of the upstreams of all services, as the leader gathers them. */
final class KeyLoads {

  private final Map<String, KeyLoadHistory> books = new HashMap<>();

  private final Map<String, UpstreamSpeedEstimator> workTimes = new HashMap<>();

  KeyLoadHistory of(String service) {
    return books.computeIfAbsent(service, name -> new KeyLoadHistory());
  }

  void add(Map<String, Map<Integer, Integer>> counts, long nowMs) {
    counts.forEach(
        (service, keys) -> keys.forEach((key, count) -> of(service).add(key, count, nowMs)));
  }

  /** Returns how fast an upstream works, 1 for the usual of its service. */
  double speed(UpstreamEntry upstream) {
    UpstreamSpeedEstimator times = workTimes.get(upstream.service());
    return times == null ? 1 : times.speed(upstream.id());
  }

  void addWork(List<WorkTime> times, long nowMs) {
    for (WorkTime time : times) {
      workTimes
          .computeIfAbsent(time.getService(), name -> new UpstreamSpeedEstimator())
          .add(time.getUpstream(), time.getAnswers(), time.getTotalMs(), nowMs);
    }
  }

  void add(List<KeyLoad> loads, long nowMs) {
    for (KeyLoad load : loads) {
      if (load.getKey() >= 0 && load.getKey() < KeyRange.KEYS) {
        of(load.getService()).add(load.getKey(), load.getRequests(), nowMs);
      }
    }
  }
}
