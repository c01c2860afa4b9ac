package org.foxtailford.core.retry;

import org.foxtailford.core.util.Assert;

/**
 * Token bucket that limits retries and hedges. Thread-safe.
 *
 * <p>Each successful answer adds a fraction of a token, so that additional work stays below that
 * fraction of the successful traffic however many requests fail. A small refill rate independent of
 * the traffic allows retries for services with few requests.
 */
public final class RetryBudget {

  private static final double MS_PER_SECOND = 1000.0;

  private final double tokensPerSuccess;
  private final double tokensPerSecond;
  private final double capacity;
  private double tokens;
  private long refilledMs;

  /**
   * Creates a full bucket.
   *
   * @param tokensPerSuccess tokens added for each successful answer, from 0 to 1
   * @param tokensPerSecond tokens added per second, independent of traffic; not negative
   * @param capacity maximum number of tokens, at least 1
   * @param nowMs current time by this VM's clock, in milliseconds
   */
  public RetryBudget(double tokensPerSuccess, double tokensPerSecond, double capacity, long nowMs) {
    Assert.isTrue(
        tokensPerSuccess >= 0 && tokensPerSuccess <= 1,
        "tokensPerSuccess must lie between 0 and 1");
    Assert.isTrue(tokensPerSecond >= 0, "tokensPerSecond must not be negative");
    Assert.isTrue(capacity >= 1, "capacity must be at least 1");
    this.tokensPerSuccess = tokensPerSuccess;
    this.tokensPerSecond = tokensPerSecond;
    this.capacity = capacity;
    this.tokens = capacity;
    this.refilledMs = nowMs;
  }

  /** Records a successful answer, which adds a fraction of a token. */
  public synchronized void recordSuccess() {
    tokens = Math.min(capacity, tokens + tokensPerSuccess);
  }

  /**
   * Takes a token if there is one. A clock that steps back adds no tokens.
   *
   * @param nowMs current time by this VM's clock, in milliseconds
   * @return whether a token was taken
   */
  public synchronized boolean tryTake(long nowMs) {
    long elapsedMs = Math.max(0, nowMs - refilledMs);
    refilledMs = Math.max(refilledMs, nowMs);
    tokens = Math.min(capacity, tokens + elapsedMs * tokensPerSecond / MS_PER_SECOND);
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
