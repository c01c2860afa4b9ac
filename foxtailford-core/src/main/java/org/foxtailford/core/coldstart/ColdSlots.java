package org.foxtailford.core.coldstart;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Counts the requests of this VM in flight at one incarnation of a cold upstream. Not thread-safe.
 */
final class ColdSlots {

  private final Queue<Long> releaseTimesMs = new ArrayDeque<>();
  private int acquired;

  boolean tryAcquire(int maxConcurrent, long nowMs) {
    releaseExpired(nowMs);
    if (acquired >= maxConcurrent) {
      return false;
    }
    acquired++;
    return true;
  }

  void release() {
    acquired--;
  }

  /** Releases a slot at a time by which the upstream can no longer be running its request. */
  void releaseAt(long releaseMs) {
    releaseTimesMs.add(releaseMs);
  }

  boolean isIdle(long nowMs) {
    releaseExpired(nowMs);
    return acquired == 0;
  }

  private void releaseExpired(long nowMs) {
    int before = releaseTimesMs.size();
    releaseTimesMs.removeIf(releaseMs -> nowMs >= releaseMs);
    acquired -= before - releaseTimesMs.size();
  }
}
