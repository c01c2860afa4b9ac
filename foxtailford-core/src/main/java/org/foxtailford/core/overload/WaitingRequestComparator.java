package org.foxtailford.core.overload;

import java.util.Comparator;
import java.util.function.ToIntFunction;

/**
 * Orders waiting requests for dispatch.
 *
 * <p>Requests that can still meet their latency target precede those that can't; within each group,
 * higher priorities come first. Among those in time with the same priority, tenants within their
 * share come first, then earlier target times. Handles bursts: a queue in order of arrival would
 * answer every request after its target.
 */
public final class WaitingRequestComparator implements Comparator<WaitingRequest> {

  private final long nowMs;
  private final long workMs;
  private final ToIntFunction<WeightedTenant> level;

  /**
   * Creates the comparator for a point in time.
   *
   * @param nowMs current time, in milliseconds
   * @param workMs typical service time, in milliseconds; used for requests that state none
   */
  public WaitingRequestComparator(long nowMs, long workMs) {
    this(nowMs, workMs, tenant -> 0);
  }

  /**
   * Creates the comparator for a point in time.
   *
   * @param nowMs current time, in milliseconds
   * @param workMs typical service time of a request, in milliseconds
   * @param level how far a tenant is over its share; must not change while requests are ordered
   */
  public WaitingRequestComparator(long nowMs, long workMs, ToIntFunction<WeightedTenant> level) {
    this.nowMs = nowMs;
    this.workMs = workMs;
    this.level = level;
  }

  private boolean isLate(WaitingRequest request) {
    long expectedMs = request.workMs() == 0 ? workMs : request.workMs();
    return request.targetAtMs() < nowMs + expectedMs;
  }

  @Override
  public int compare(WaitingRequest a, WaitingRequest b) {
    int byLateness = Boolean.compare(isLate(a), isLate(b));
    if (byLateness != 0) {
      return byLateness;
    }
    int byPriority = Integer.compare(a.priority(), b.priority());
    if (byPriority != 0) {
      return byPriority;
    }
    int byLevel = isLate(a) ? 0 : Integer.compare(level(a), level(b));
    return byLevel != 0 ? byLevel : Long.compare(a.targetAtMs(), b.targetAtMs());
  }

  private int level(WaitingRequest request) {
    return request.tenant().isPresent() ? level.applyAsInt(request.tenant().get()) : 0;
  }
}
