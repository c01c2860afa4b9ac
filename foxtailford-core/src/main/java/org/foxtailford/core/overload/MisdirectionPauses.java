package org.foxtailford.core.overload;

import java.util.HashMap;
import java.util.Map;

/**
 * Pauses keys whose owner has disowned them, until a newer assignment is known.
 *
 * <p>Handles keys that are being moved: their old owner rejects them at once, and their new owner
 * gets them only after the work that runs on them has ended. Requests sent to the old owner
 * meanwhile would use up their attempts. Other keys of the same assignment are not affected, since
 * mostly a part of one moves. The pause doubles with each rejection, so that a rejection by mistake
 * does not block a key for long. Not thread-safe.
 */
public final class MisdirectionPauses {

  /** First pause, in milliseconds; covers a write of the map and its way to all VMs. */
  public static final long INITIAL_PAUSE_MS = 300;

  /** Longest pause, in milliseconds; covers the work of most requests. */
  public static final long MAX_PAUSE_MS = 1200;

  private record KeyOfAssignment(int key, long fence) {}

  private record Pause(long untilMs, long lengthMs) {}

  private final Map<KeyOfAssignment, Pause> pauses = new HashMap<>();

  /** Records that an owner has disowned a key of an assignment with a given fence. */
  public void recordRejection(int key, long fence, long nowMs) {
    KeyOfAssignment disowned = new KeyOfAssignment(key, fence);
    Pause last = pauses.get(disowned);
    if (last != null && nowMs < last.untilMs()) {
      return; // sent before the pause began
    }
    long lengthMs = last == null ? INITIAL_PAUSE_MS : Math.min(2 * last.lengthMs(), MAX_PAUSE_MS);
    pauses.put(disowned, new Pause(nowMs + lengthMs, lengthMs));
  }

  /** Returns whether requests for a key of an assignment wait for a newer one. */
  public boolean isPaused(int key, long fence, long nowMs) {
    Pause pause = pauses.get(new KeyOfAssignment(key, fence));
    return pause != null && nowMs < pause.untilMs();
  }

  /** Forgets pauses that ended long ago; their assignments were replaced or work again. */
  public void removeOutdated(long nowMs) {
    pauses.values().removeIf(pause -> nowMs - pause.untilMs() > MAX_PAUSE_MS);
  }
}
