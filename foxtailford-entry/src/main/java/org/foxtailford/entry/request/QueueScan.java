package org.foxtailford.entry.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.foxtailford.core.util.Assert;

/**
 * State of one scan of a service's queue. What one request shows about a range's capacity or an
 * owner's send rate is reused for those after it.
 */
final class QueueScan {

  private final UpstreamSelector upstreams;
  private final Set<String> fullRanges = new HashSet<>();
  private final Map<String, Double> ahead = new HashMap<>();
  private final Map<String, Double> rates = new HashMap<>();
  private final Map<String, Long> suspensions = new HashMap<>();

  QueueScan(UpstreamSelector upstreams) {
    this.upstreams = Assert.notNull(upstreams, "upstreams");
  }

  /** Returns the owner's id, or an empty string for a request that any upstream may run. */
  private String ownerUpstream(RequestCall call) {
    return upstreams.owner(call).map(assignment -> assignment.owner().upstream()).orElse("");
  }

  private String rangeId(RequestCall call) {
    return upstreams.owner(call).map(assignment -> Long.toString(assignment.fence())).orElse("");
  }

  boolean isFull(RequestCall call) {
    return fullRanges.contains(rangeId(call));
  }

  /**
   * Records a lack of capacity; not for a retry, which excludes the upstreams already tried, nor
   * for a body that is too large where a smaller one may have room.
   */
  void recordNoCapacity(RequestCall call) {
    boolean general = call.service().keyed() || call.history().triedUpstreams().isEmpty();
    if (general && !isFull(call) && !upstreams.isLimitedByBytes(call)) {
      fullRanges.add(rangeId(call));
    }
  }

  double ahead(RequestCall call) {
    return ahead.getOrDefault(ownerUpstream(call), 0.0);
  }

  void recordWaiting(RequestCall call) {
    ahead.merge(ownerUpstream(call), upstreams.costs().relativeCost(call), Double::sum);
  }

  long suspendedUntilMs(RequestCall call) {
    return suspensions.computeIfAbsent(
        ownerUpstream(call), name -> upstreams.suspendedUntilMs(call));
  }

  double sendRate(RequestCall call) {
    return rates.computeIfAbsent(ownerUpstream(call), name -> upstreams.expectedSendRate(call));
  }
}
