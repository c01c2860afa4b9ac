package org.foxtailford.core.ownership;

import org.foxtailford.core.util.Assert;

/**
 * Permission of an entry VM to send by one version of the owners to upstreams that do not check
 * fences.
 *
 * <p>The leader gives it with the map. It counts from a reading of the entry VM's own clock, which
 * the entry VM sent with its request for the lease. A request that is sent under the lease must
 * have its deadline at the lease's end at the latest.
 *
 * @param mapVersion version of the owners that the entry VM may send by
 * @param validUntilMs reading of the entry VM's clock until which it may send
 */
public record RoutingLease(Fence mapVersion, long validUntilMs) {

  /**
   * Returns the lease of a leader's answer.
   *
   * @param mapVersion version of the owners that the answer carries
   * @param askedMs reading of the entry VM's clock before it asked
   * @param timing times to live
   */
  public static RoutingLease granted(Fence mapVersion, long askedMs, OwnershipTiming timing) {
    Assert.notNull(mapVersion, "mapVersion");
    return new RoutingLease(mapVersion, askedMs + timing.grantTtlMs());
  }

  /** Tells whether the entry VM may send by a version of the owners now. */
  public boolean allows(Fence version, long nowMs) {
    return mapVersion.equals(version) && nowMs < validUntilMs;
  }
}
