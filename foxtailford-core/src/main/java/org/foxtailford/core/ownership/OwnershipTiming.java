package org.foxtailford.core.ownership;

import java.util.OptionalLong;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.LeaseRecord;
import org.foxtailford.schema.OwnershipSettings;

/**
 * Times to live of leases and grants, in milliseconds.
 *
 * @param leaseTtlMs time to live of the leader's lease
 * @param renewIntervalMs time between renewals
 * @param grantTtlMs time to live of an upstream's grant
 * @param clockRateMarginPpm largest difference of clock rates, in parts per million
 * @param holdWithoutTableMs longest time for which a leader goes on after its lease lapsed
 */
public record OwnershipTiming(
    int leaseTtlMs,
    int renewIntervalMs,
    int grantTtlMs,
    int clockRateMarginPpm,
    int holdWithoutTableMs) {

  public OwnershipTiming {
    Assert.isTrue(
        renewIntervalMs * 2 <= leaseTtlMs, "renewIntervalMs must be at most leaseTtlMs/2");
    Assert.isTrue(
        renewIntervalMs * 2 <= grantTtlMs, "renewIntervalMs must be at most grantTtlMs/2");
  }

  /** Returns the timing of the settings. */
  public static OwnershipTiming of(OwnershipSettings settings) {
    return new OwnershipTiming(
        settings.getLeaseTtlMs(),
        settings.getRenewIntervalMs(),
        settings.getGrantTtlMs(),
        settings.getClockRateMarginPpm(),
        settings.getHoldWithoutTableMs());
  }

  /** Returns the time for which a holder may trust its own lease. */
  public long trustedLeaseMs() {
    return leaseTtlMs - margin(leaseTtlMs);
  }

  /** Returns the time after which an observer may treat a lease as lapsed. */
  public long leaseExpiryMs() {
    return lapsed(leaseTtlMs);
  }

  /** Returns the time after which a grant has lapsed on every clock. */
  public long grantExpiryMs() {
    return lapsed(grantTtlMs);
  }

  /** Returns the time after which a leader without its lease has stopped on every clock. */
  public long holdExpiryMs() {
    return lapsed(holdWithoutTableMs);
  }

  /**
   * Returns the time without an answer of the table, counted from the end of the lease, after which
   * a leader begins anew: another data centre may have taken its homes meanwhile.
   */
  public long termExpiryMs() {
    return (long) holdWithoutTableMs + grantTtlMs;
  }

  /**
   * Returns the time after which whatever the writer of a lease row granted has lapsed on every
   * clock, if the row did not change; empty if the row does not tell.
   */
  public OptionalLong leadershipExpiryMs(LeaseRecord record) {
    if (record.getGrantTtlMs() == 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(
        leadershipExpiryWithoutHoldMs(record).orElseThrow()
            + lapsed(record.getHoldWithoutTableMs()));
  }

  /** Returns the same time for a leader that is known not to go on without its lease. */
  public OptionalLong leadershipExpiryWithoutHoldMs(LeaseRecord record) {
    if (record.getGrantTtlMs() == 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(lapsed(record.getTtlMs()) + lapsed(record.getGrantTtlMs()));
  }

  private long lapsed(long ms) {
    return ms + margin(ms);
  }

  private long margin(long ms) {
    return (ms * clockRateMarginPpm + 999_999) / 1_000_000 + 1;
  }
}
