package org.foxtailford.core.quota;

/**
 * Tokens of one tenant at a holder. Addresses a tenant that sends more than its quota: tokens
 * accrue at the holder's part of the rate, up to its part of the burst. Not thread-safe.
 */
final class TokenBucket {

  private double level = 1; // a new holder can serve a first request of a tenant with a tiny share
  private double ratePerSecond;
  private double capacity;
  private long lastMs;

  TokenBucket(long nowMs) {
    lastMs = nowMs;
  }

  /** Accrues tokens at the previous rate, then sets rate and capacity; both may be 0. */
  void set(double newRatePerSecond, double newCapacity, long nowMs) {
    accrue(nowMs);
    ratePerSecond = newRatePerSecond;
    capacity = newCapacity;
    level = Math.min(level, capacity);
  }

  private void accrue(long nowMs) {
    level = Math.min(capacity, level + ratePerSecond * Math.max(0, nowMs - lastMs) / 1000);
    lastMs = Math.max(lastMs, nowMs);
  }

  /** Returns the number of whole tokens. */
  int available(long nowMs) {
    accrue(nowMs);
    return (int) level;
  }

  /** Takes tokens, of which as many must be available. */
  void take(int tokens) {
    level -= tokens;
  }

  /** Puts back unused tokens, up to the capacity. */
  void putBack(int tokens) {
    level = Math.min(capacity, level + tokens);
  }

  /** Returns the time until a whole token is available, in milliseconds; at least 1. */
  long nextTokenMs() {
    double missing = Math.max(0, 1 - level);
    return ratePerSecond <= 0
        ? Long.MAX_VALUE
        : Math.max(1, (long) Math.ceil(missing * 1000 / ratePerSecond));
  }
}
