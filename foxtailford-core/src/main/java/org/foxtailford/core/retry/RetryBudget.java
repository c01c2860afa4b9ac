package org.foxtailford.core.retry;

import org.foxtailford.core.util.Assert;

/**
 * Token bucket that retries and hedges are paid from. Thread-safe.
 *
 * <p>Each good answer adds a share of a token, so that extra work stays under that share of the
 * good traffic however many requests fail. A small rate independent of the traffic lets a service
 * with few requests retry too.
 */
public final class RetryBudget {

  private static final double MS_PER_SECOND = 1000.0;

  private final double share;
  private final double perSecond;
  private final double capacity;
  private double tokens;
  private long refilledMs;

  /**
   * Creates a full bucket.
   *
   * @param share tokens added by one good answer, from 0 to 1
   * @param perSecond tokens added a second without any traffic
   * @param capacity most tokens kept
   * @param nowMs reading of this VM's clock
   */
  public RetryBudget(double share, double perSecond, double capacity, long nowMs) {
    Assert.isTrue(share >= 0 && share <= 1, "share must lie between 0 and 1");
    Assert.isTrue(perSecond >= 0, "perSecond must not be negative");
    Assert.isTrue(capacity >= 1, "capacity must be at least 1");
    this.share = share;
    this.perSecond = perSecond;
    this.capacity = capacity;
    this.tokens = capacity;
    this.refilledMs = nowMs;
  }

  /** Notes a good answer. */
  public synchronized void recordSuccess() {
    tokens = Math.min(capacity, tokens + share);
  }

  /** Takes a token; returns false if there is none. */
  public synchronized boolean tryTake(long nowMs) {
    long elapsedMs = Math.max(0, nowMs - refilledMs);
    refilledMs = Math.max(refilledMs, nowMs);
    tokens = Math.min(capacity, tokens + elapsedMs * perSecond / MS_PER_SECOND);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
