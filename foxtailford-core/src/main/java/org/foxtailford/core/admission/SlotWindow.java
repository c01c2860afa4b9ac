package org.foxtailford.core.admission;

import org.foxtailford.core.util.Assert;

/**
 * Adaptive limit on this VM's concurrent requests to one upstream. Thread-safe.
 *
 * <p>The window starts at an even share of the upstream's slots among the live entry VMs. It grows
 * by about one slot for each window of answers received while it was full, and shrinks by a factor
 * when the upstream rejects a request for lack of capacity. At one slot, each further rejection
 * doubles a pause before the next request. Entry VMs thus share the upstream without coordination.
 */
public final class SlotWindow {

  private static final double SHRINK_FACTOR = 0.6;
  private static final long INITIAL_PAUSE_MS = 20;
  private static final long MAX_PAUSE_MS = 1000;

  private final int slots;
  private double window;
  private int inFlight;
  private long pauseMs;
  private long pausedUntilMs = Long.MIN_VALUE;

  /**
   * Creates a window.
   *
   * @param slots number of requests that the upstream runs concurrently, for all entry VMs together
   * @param entryVms number of live entry VMs that may send requests to the upstream
   */
  public SlotWindow(int slots, int entryVms) {
    Assert.isTrue(slots > 0, "slots must be positive");
    Assert.isTrue(entryVms > 0, "entryVms must be positive");
    this.slots = slots;
    this.window = Math.max(1, (double) slots / entryVms);
  }

  /** Takes a slot, or returns false if the window is full or the upstream is paused. */
  public synchronized boolean tryAcquire(long nowMs) {
    if (!hasFreeSlot(nowMs)) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Returns whether a slot is free and the upstream isn't paused. */
  public synchronized boolean hasFreeSlot(long nowMs) {
    return nowMs >= pausedUntilMs && inFlight < (int) window;
  }

  /** Returns the ratio of requests in flight to the window; it may exceed 1. */
  public synchronized double utilization() {
    return inFlight / window;
  }

  /**
   * Returns a slot after an answer, or after a failure other than a rejection for lack of capacity.
   *
   * @param answered whether the upstream answered
   */
  public synchronized void release(boolean answered) {
    boolean wasFull = inFlight >= (int) window;
    inFlight--;
    if (answered) {
      pauseMs = 0;
      if (wasFull) {
        window = Math.min(slots, window + 1 / window);
      }
    }
  }

  /** Returns a slot after the upstream rejected the request for lack of capacity. */
  public synchronized void releaseRejected(long nowMs) {
    inFlight--;
    boolean singleSlot = (int) window == 1;
    window = Math.max(1, window * SHRINK_FACTOR);
    if (!singleSlot) {
      return;
    }
    pauseMs = Math.min(MAX_PAUSE_MS, Math.max(INITIAL_PAUSE_MS, pauseMs * 2));
    pausedUntilMs = nowMs + pauseMs;
  }

  /** Resets the window to one slot, for an upstream that was unreachable. */
  public synchronized void reset() {
    window = 1;
  }

  /** Returns the maximum number of requests that this VM may have in flight at the upstream. */
  public synchronized int size() {
    return (int) window;
  }

  /** Returns the number of requests that this VM has in flight at the upstream. */
  public synchronized int inFlight() {
    return inFlight;
  }
}
