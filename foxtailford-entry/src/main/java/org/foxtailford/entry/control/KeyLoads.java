package org.foxtailford.entry.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailford.core.range.KeyLoadBook;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.schema.entry.KeyLoad;

/** Load of the keys of all services, as the leader gathers it. */
final class KeyLoads {

  private final Map<String, KeyLoadBook> books = new HashMap<>();

  KeyLoadBook of(String service) {
    return books.computeIfAbsent(service, name -> new KeyLoadBook());
  }

  void add(Map<String, Map<Integer, Integer>> counts, long nowMs) {
    counts.forEach(
        (service, keys) -> keys.forEach((key, count) -> of(service).add(key, count, nowMs)));
  }

  void add(List<KeyLoad> loads, long nowMs) {
    for (KeyLoad load : loads) {
      if (load.getKey() >= 0 && load.getKey() < KeyRange.KEYS) {
        of(load.getService()).add(load.getKey(), load.getRequests(), nowMs);
      }
    }
  }
}
