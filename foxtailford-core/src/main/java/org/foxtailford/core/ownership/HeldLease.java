package org.foxtailford.core.ownership;

/**
 * A lease that this VM holds or last held.
 *
 * @param epoch epoch of the lease, higher than that of every earlier holder
 * @param rowVersion last known version of the row that contains the lease
 * @param acquiredMs time on this VM's clock at which the epoch was acquired, in milliseconds
 * @param validUntilMs time on this VM's clock at which the lease expires, in milliseconds
 */
public record HeldLease(long epoch, long rowVersion, long acquiredMs, long validUntilMs) {

  HeldLease renewed(long newRowVersion, long newValidUntilMs) {
    return new HeldLease(epoch, newRowVersion, acquiredMs, newValidUntilMs);
  }
}
