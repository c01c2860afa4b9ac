package org.foxtailford.core.overload;

import java.util.Comparator;

/**
 * Order in which waiting requests are sent on.
 *
 * <p>Requests that can still be answered in their aim go before those that can't; among them higher
 * priorities first, then the earliest aim. Answers the load pattern of a burst: without it, a queue
 * in order of arrival answers every request late.
 */
public final class WaitingRequestComparator implements Comparator<WaitingRequest> {

  private final long nowMs;
  private final long workMs;

  /**
   * Creates the order at a moment.
   *
   * @param workMs time that an answer usually takes, in milliseconds
   */
  public WaitingRequestComparator(long nowMs, long workMs) {
    this.nowMs = nowMs;
    this.workMs = workMs;
  }

  private boolean isLate(WaitingRequest request) {
    return request.targetAtMs() < nowMs + workMs;
  }

  @Override
  public int compare(WaitingRequest a, WaitingRequest b) {
    int late = Boolean.compare(isLate(a), isLate(b));
    if (late != 0) {
      return late;
    }
    int rank = Integer.compare(a.priority(), b.priority());
    return rank != 0 ? rank : Long.compare(a.targetAtMs(), b.targetAtMs());
  }
}
