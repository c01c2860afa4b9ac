package org.foxtailford.core.quota;

import org.foxtailford.core.util.Assert;

/**
 * Quota of one tenant over all entry VMs.
 *
 * @param ratePerSecond requests a second; positive
 * @param burst requests that may come in addition after a pause; not negative
 */
public record QuotaLimit(double ratePerSecond, double burst) {

  /** Checks the numbers. */
  public QuotaLimit {
    Assert.isTrue(ratePerSecond > 0, "ratePerSecond must be positive");
    Assert.isTrue(burst >= 0, "burst must not be negative");
  }
}
