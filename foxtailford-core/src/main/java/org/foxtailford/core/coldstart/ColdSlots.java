package org.foxtailford.core.coldstart;

import java.util.ArrayDeque;
import java.util.Queue;

/** Places of one start of an upstream that requests of this VM take up. Not thread-safe. */
final class ColdSlots {

  private final Queue<Long> lingeringUntilMs = new ArrayDeque<>();
  private int taken;

  boolean tryTake(int allowance, long nowMs) {
    freeLingering(nowMs);
    if (taken >= allowance) {
      return false;
    }
    taken++;
    return true;
  }

  void free() {
    taken--;
  }

  /** Keeps a place taken until the upstream has surely dropped its request. */
  void freeAt(long untilMs) {
    lingeringUntilMs.add(untilMs);
  }

  boolean isFree(long nowMs) {
    freeLingering(nowMs);
    return taken == 0;
  }

  private void freeLingering(long nowMs) {
    int before = lingeringUntilMs.size();
    lingeringUntilMs.removeIf(untilMs -> nowMs >= untilMs);
    taken -= before - lingeringUntilMs.size();
  }
}
