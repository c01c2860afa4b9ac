package org.foxtailford.core.admission;

import org.foxtailford.core.util.Assert;

/**
 * This VM's part of the slots of one upstream. Thread-safe.
 *
 * <p>The part starts at an even share among the live entry VMs, grows by about one slot for each
 * window of answers received while it was full, and shrinks by a factor when the upstream refuses
 * for lack of room. At one slot, each further refusal doubles a pause before the next request.
 * Entry VMs share the upstream this way without asking each other.
 */
public final class SlotWindow {

  private static final double SHRINK_FACTOR = 0.6;
  private static final long FIRST_PAUSE_MS = 20;
  private static final long MAX_PAUSE_MS = 1000;

  private final int slots;
  private double window;
  private int inFlight;
  private long pauseMs;
  private long pausedUntilMs = Long.MIN_VALUE;

  /**
   * Creates a window.
   *
   * @param slots requests that the upstream runs at once, for all entry VMs together
   * @param entryVms live entry VMs that may send to it
   */
  public SlotWindow(int slots, int entryVms) {
    Assert.isTrue(slots > 0, "slots must be positive");
    Assert.isTrue(entryVms > 0, "entryVms must be positive");
    this.slots = slots;
    this.window = Math.max(1, (double) slots / entryVms);
  }

  /** Takes a slot; returns false if this VM's part is in use or the upstream is paused. */
  public synchronized boolean tryAcquire(long nowMs) {
    if (!hasFreeSlot(nowMs)) {
      return false;
    }
    inFlight++;
    return true;
  }

  /** Tells whether a slot is free. */
  public synchronized boolean hasFreeSlot(long nowMs) {
    return nowMs >= pausedUntilMs && inFlight < (int) window;
  }

  /** Returns the share of this VM's part that is in use, from 0. */
  public synchronized double utilization() {
    return inFlight / window;
  }

  /** Returns a slot after the upstream answered or failed for another reason than room. */
  public synchronized void release(boolean answered) {
    boolean full = inFlight >= (int) window;
    inFlight--;
    if (answered) {
      pauseMs = 0;
      if (full) {
        window = Math.min(slots, window + 1 / window);
      }
    }
  }

  /** Returns a slot after the upstream refused for lack of room. */
  public synchronized void releaseRejected(long nowMs) {
    inFlight--;
    boolean single = (int) window == 1;
    window = Math.max(1, window * SHRINK_FACTOR);
    if (!single) {
      return;
    }
    pauseMs = Math.min(MAX_PAUSE_MS, Math.max(FIRST_PAUSE_MS, pauseMs * 2));
    pausedUntilMs = nowMs + pauseMs;
  }

  /** Starts again with one slot, for an upstream that was away. */
  public synchronized void reset() {
    window = 1;
  }

  /** Returns the number of requests that this VM may have in flight at the upstream. */
  public synchronized int size() {
    return (int) window;
  }

  /** Returns the number of requests that this VM has in flight at the upstream. */
  public synchronized int inFlight() {
    return inFlight;
  }
}
