package org.foxtailford.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.foxtailford.core.util.Assert;

/**
 * This VM's part of the sends beyond the first that a service may get in a window.
 *
 * <p>The ratio is applied to this VM's own requests, and the fixed part is divided by the number of
 * entry VMs, so that the sum over all of them keeps the bound without a message. Answers the load
 * pattern of a retry storm: most upstreams failing or refusing at once. Not thread-safe.
 */
public final class WindowedRetryBudget {

  private static final int PARTS = 10;

  /** Part of the bound that is used; the rest covers requests on their way at its edge. */
  private static final double USED_SHARE = 0.8;

  private final double ratio;
  private final double fixed;
  private final long partMs;
  private final Map<String, Window> windows = new HashMap<>();

  private static final class Window {
    private final int[] requests = new int[PARTS];
    private final int[] repeats = new int[PARTS];
    private long part;
  }

  /**
   * Creates an allowance.
   *
   * @param ratio repeats for each request
   * @param fixed repeats that all entry VMs together have beside that
   * @param windowMs length of the window, in milliseconds
   */
  public WindowedRetryBudget(double ratio, double fixed, long windowMs) {
    Assert.isTrue(ratio >= 0 && fixed >= 0, "ratio and fixed must not be negative");
    Assert.isTrue(windowMs >= PARTS, "windowMs must be at least " + PARTS);
    this.ratio = ratio;
    this.fixed = fixed;
    this.partMs = windowMs / PARTS;
  }

  /** Counts a request for a service. */
  public void recordRequest(String service, long nowMs) {
    Window window = window(service, nowMs);
    window.requests[(int) (window.part % PARTS)]++;
  }

  /**
   * Takes one repeat if it is within the allowance.
   *
   * @param entryVms entry VMs that share the fixed part
   */
  public boolean tryRetry(String service, int entryVms, long nowMs) {
    Window window = window(service, nowMs);
    int requests = 0;
    int repeats = 0;
    for (int i = 0; i < PARTS; i++) {
      requests += window.requests[i];
      repeats += window.repeats[i];
    }
    double allowed = USED_SHARE * (ratio * requests + fixed / Math.max(1, entryVms));
    if (repeats + 1 > allowed) {
      return false;
    }
    window.repeats[(int) (window.part % PARTS)]++;
    return true;
  }

  private Window window(String service, long nowMs) {
    Window window = windows.computeIfAbsent(service, name -> new Window());
    long part = Math.floorDiv(nowMs, partMs);
    if (part - window.part >= PARTS) {
      window.part = part - PARTS;
    }
    while (window.part < part) {
      window.part++;
      window.requests[(int) (window.part % PARTS)] = 0;
      window.repeats[(int) (window.part % PARTS)] = 0;
    }
    return window;
  }
}
