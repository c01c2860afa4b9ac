package org.foxtailford.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Pauses assignments of keys whose owner has disowned a key, until a newer assignment is known.
 *
 * <p>Handles keys that are being moved: their old owner rejects them at once, and their new owner
 * gets them only after the work that runs on them has ended. Requests sent to the old owner
 * meanwhile would use up their attempts. The pause doubles with each rejection, so that a rejection
 * by mistake does not block the keys for long. Not thread-safe.
 */
public final class MisdirectionPauses {

  /** First pause, in milliseconds; covers a write of the map and its way to all VMs. */
  public static final long INITIAL_PAUSE_MS = 300;

  /** Longest pause, in milliseconds; covers the work of most requests. */
  public static final long MAX_PAUSE_MS = 1200;

  private record Pause(long untilMs, long lengthMs) {}

  private final Map<Long, Pause> byFence = new HashMap<>();

  /** Records that an owner has disowned a key of an assignment with a given fence. */
  public void recordRejection(long fence, long nowMs) {
    Pause last = byFence.get(fence);
    if (last != null && nowMs < last.untilMs()) {
      return; // sent before the pause began
    }
    long lengthMs = last == null ? INITIAL_PAUSE_MS : Math.min(2 * last.lengthMs(), MAX_PAUSE_MS);
    byFence.put(fence, new Pause(nowMs + lengthMs, lengthMs));
  }

  /** Returns whether requests for keys of an assignment wait for a newer one. */
  public boolean isPaused(long fence, long nowMs) {
    Pause pause = byFence.get(fence);
    return pause != null && nowMs < pause.untilMs();
  }

  /** Forgets pauses that ended long ago; their assignments were replaced or work again. */
  public void removeOutdated(long nowMs) {
    byFence.values().removeIf(pause -> nowMs - pause.untilMs() > MAX_PAUSE_MS);
  }
}
