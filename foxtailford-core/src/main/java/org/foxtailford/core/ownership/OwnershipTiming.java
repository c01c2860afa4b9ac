package org.foxtailford.core.ownership;

import java.util.OptionalLong;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.LeaseRecord;
import org.foxtailford.schema.OwnershipSettings;

/**
 * Durations that govern leases and grants, in milliseconds.
 *
 * @param leaseTtlMs TTL of the leader lease
 * @param renewIntervalMs time between renewals
 * @param grantTtlMs TTL of a grant to an upstream
 * @param clockRateMarginPpm maximum difference between the rates of two clocks, in parts per
 *     million
 * @param holdWithoutTableMs maximum time for which a leader continues after its lease has lapsed
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

  /** Creates the timing from the settings. */
  public static OwnershipTiming of(OwnershipSettings settings) {
    return new OwnershipTiming(
        settings.getLeaseTtlMs(),
        settings.getRenewIntervalMs(),
        settings.getGrantTtlMs(),
        settings.getClockRateMarginPpm(),
        settings.getHoldWithoutTableMs());
  }

  /**
   * Returns the time for which a holder may rely on its own lease: the TTL less the clock margin.
   */
  public long trustedLeaseMs() {
    return leaseTtlMs - margin(leaseTtlMs);
  }

  /**
   * Returns the time after which an observer may treat a lease as lapsed: the TTL plus the clock
   * margin.
   */
  public long leaseExpiryMs() {
    return withMargin(leaseTtlMs);
  }

  /** Returns the time after which a grant has lapsed by every clock. */
  public long grantExpiryMs() {
    return withMargin(grantTtlMs);
  }

  /** Returns the time after which a leader without its lease has stopped by every clock. */
  public long holdExpiryMs() {
    return withMargin(holdWithoutTableMs);
  }

  /**
   * Returns the time without a response of the table service, counted from the end of the lease,
   * after which a leader has to start a new term, since another data centre may have taken its
   * homes over by then.
   */
  public long termExpiryMs() {
    return (long) holdWithoutTableMs + grantTtlMs;
  }

  /**
   * Returns the time after which every grant of the leader that wrote a leader record has lapsed by
   * every clock, if the record did not change meanwhile; empty if the record contains no grant TTL.
   */
  public OptionalLong leadershipExpiryMs(LeaseRecord record) {
    if (record.getGrantTtlMs() == 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(
        leadershipExpiryWithoutHoldMs(record).orElseThrow()
            + withMargin(record.getHoldWithoutTableMs()));
  }

  /**
   * Returns the time of {@link #leadershipExpiryMs} for a leader that is known to stop when its
   * lease lapses.
   */
  public OptionalLong leadershipExpiryWithoutHoldMs(LeaseRecord record) {
    if (record.getGrantTtlMs() == 0) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(withMargin(record.getTtlMs()) + withMargin(record.getGrantTtlMs()));
  }

  private long withMargin(long ms) {
    return ms + margin(ms);
  }

  private long margin(long ms) {
    return (ms * clockRateMarginPpm + 999_999) / 1_000_000 + 1;
  }
}
