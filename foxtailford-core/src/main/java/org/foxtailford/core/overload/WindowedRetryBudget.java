package org.foxtailford.core.overload;

import java.util.HashMap;
import java.util.Map;
import org.foxtailford.core.util.Assert;

/**
 * Limits the retries that this entry VM sends to each service within a sliding window.
 *
 * <p>The ratio applies to this VM's own requests, and the fixed allowance is divided by the number
 * of entry VMs, so that the total over all VMs stays within the bound without any messages. Handles
 * retry storms, in which most upstreams fail or reject requests at once. Not thread-safe.
 */
public final class WindowedRetryBudget {

  /** Parts of a window. */
  private static final int BUCKETS = 10;

  /** Parts over which retries are counted: the present part is not a whole one. */
  private static final int RETRY_BUCKETS = BUCKETS + 1;

  /** Fraction of the bound that is used; the rest covers requests in flight at the window edge. */
  private static final double SAFETY_FACTOR = 0.8;

  private final double ratio;
  private final double fixed;
  private final long bucketMs;
  private final Map<String, Window> windows;

  private static final class Window {
    private final int[] requests = new int[BUCKETS];
    private final int[] retries = new int[RETRY_BUCKETS];
    private long bucket;
  }

  /**
   * Creates a budget.
   *
   * @param ratio allowed retries per request; not negative
   * @param fixed allowed retries per window in addition, for all entry VMs together
   * @param windowMs window length, in milliseconds; at least 10
   */
  public WindowedRetryBudget(double ratio, double fixed, long windowMs) {
    this(ratio, fixed, windowMs, new HashMap<>());
  }

  private WindowedRetryBudget(
      double ratio, double fixed, long windowMs, Map<String, Window> windows) {
    Assert.isTrue(ratio >= 0 && fixed >= 0, "ratio and fixed must not be negative");
    Assert.isTrue(windowMs >= BUCKETS, "windowMs must be at least " + BUCKETS);
    this.ratio = ratio;
    this.fixed = fixed;
    this.bucketMs = windowMs / BUCKETS;
    this.windows = windows;
  }

  /**
   * Returns a budget with other bounds that goes on with what this one has counted, unless the
   * window has another length. This budget must not be used any more.
   *
   * @param newRatio allowed retries per request; not negative
   * @param newFixed allowed retries per window in addition, for all entry VMs together
   * @param windowMs window length, in milliseconds; at least 10
   */
  public WindowedRetryBudget withBounds(double newRatio, double newFixed, long windowMs) {
    boolean sameWindow = windowMs / BUCKETS == bucketMs;
    return new WindowedRetryBudget(
        newRatio, newFixed, windowMs, sameWindow ? windows : new HashMap<>());
  }

  /** Records a new request for a service, which raises the number of allowed retries. */
  public void recordRequest(String service, long nowMs) {
    Window window = window(service, nowMs);
    window.requests[(int) (window.bucket % BUCKETS)]++;
  }

  /**
   * Consumes one retry if the budget allows it.
   *
   * @param entryVms number of entry VMs that share the fixed allowance
   * @return whether the retry may be sent
   */
  public boolean tryRetry(String service, int entryVms, long nowMs) {
    Window window = window(service, nowMs);
    int requests = 0;
    int retries = 0;
    for (int i = 0; i < BUCKETS; i++) {
      requests += window.requests[i];
    }
    for (int i = 0; i < RETRY_BUCKETS; i++) {
      retries += window.retries[i];
    }
    double allowed = SAFETY_FACTOR * (ratio * requests + fixed / Math.max(1, entryVms));
    if (retries + 1 > allowed) {
      return false;
    }
    window.retries[(int) (window.bucket % RETRY_BUCKETS)]++;
    return true;
  }

  private Window window(String service, long nowMs) {
    Window window = windows.computeIfAbsent(service, name -> new Window());
    long bucket = Math.floorDiv(nowMs, bucketMs);
    if (bucket - window.bucket >= RETRY_BUCKETS) {
      window.bucket = bucket - RETRY_BUCKETS;
    }
    while (window.bucket < bucket) {
      window.bucket++;
      window.requests[(int) (window.bucket % BUCKETS)] = 0;
      window.retries[(int) (window.bucket % RETRY_BUCKETS)] = 0;
    }
    return window;
  }
}
