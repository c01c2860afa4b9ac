package org.foxtailford.core.quota;

import org.foxtailford.core.util.Assert;

/**
 * Bound on a tenant's requests in each sliding window, and how what the bound leaves above the
 * quota is divided: of the overrun, half covers tokens that were issued before a window and are
 * used in it, and 0.4 the emergency tokens. Of the slack, half covers emergency tokens and 0.4 the
 * buckets; the rest covers the first token of each new bucket.
 *
 * @param windowMs length of the window, in milliseconds
 * @param overrun fraction of the quota by which it may be exceeded in a window
 * @param slack requests by which the quota may be exceeded in a window in addition
 */
public record QuotaTerms(long windowMs, double overrun, double slack) {

  private static final double TOKEN_TTL_PART = 0.5;
  private static final double EMERGENCY_PART = 0.4;
  private static final double EMERGENCY_SLACK_PART = 0.5;
  private static final double BUCKET_SLACK_PART = 0.4;

  /** Part of the burst that buckets hold; the rest covers what shares in transit may add. */
  private static final double BUCKET_BURST_PART = 0.75;

  /** Maximum time for which a token may be used, in milliseconds. */
  private static final long MAX_TOKEN_TTL_MS = 1000;

  /** Terms that apply where the settings name none. */
  public static final QuotaTerms DEFAULT = new QuotaTerms(5000, 0.1, 20);

  /** Checks the numbers. */
  public QuotaTerms {
    Assert.isTrue(windowMs > 0, "windowMs must be positive");
    Assert.isTrue(overrun >= 0, "overrun must not be negative");
    Assert.isTrue(slack >= 0, "slack must not be negative");
  }

  /** Returns the maximum number of requests in a window. */
  public double maxRequests(QuotaLimit limit) {
    return quota(limit) * (1 + overrun) + slack;
  }

  private double quota(QuotaLimit limit) {
    return limit.ratePerSecond() * windowMs / 1000 + limit.burst();
  }

  /** Returns the time from its issue for which a token may be used, in milliseconds. */
  public long tokenTtlMs() {
    return Math.min(MAX_TOKEN_TTL_MS, Math.max(1, (long) (windowMs * overrun * TOKEN_TTL_PART)));
  }

  /** Returns the emergency tokens of all entry VMs together in a window. */
  public double emergencyTokens(QuotaLimit limit) {
    return quota(limit) * overrun * EMERGENCY_PART + slack * EMERGENCY_SLACK_PART;
  }

  /** Returns the capacity of the bucket of a holder with a share, a fraction from 0 to 1. */
  public double bucketCapacity(QuotaLimit limit, double share) {
    double whole = limit.burst() * BUCKET_BURST_PART + slack * BUCKET_SLACK_PART;
    return Math.max(1, whole * share);
  }
}
