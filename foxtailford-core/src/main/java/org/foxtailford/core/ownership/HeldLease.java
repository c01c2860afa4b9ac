package org.foxtailford.core.ownership;

/**
 * A lease that this VM holds.
 *
 * @param epoch epoch of the lease, higher than that of every earlier holder
 * @param rowVersion version of the row that proves it
 * @param acquiredMs reading of this VM's clock at which the epoch was acquired
 * @param validUntilMs reading of this VM's clock until which it may act
 */
public record HeldLease(long epoch, long rowVersion, long acquiredMs, long validUntilMs) {

  HeldLease renewed(long newRowVersion, long newValidUntilMs) {
    return new HeldLease(epoch, newRowVersion, acquiredMs, newValidUntilMs);
  }
}
