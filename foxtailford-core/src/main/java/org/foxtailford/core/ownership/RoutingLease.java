package org.foxtailford.core.ownership;

import org.foxtailford.core.util.Assert;

/**
 * Permission for an entry VM to route requests by one version of the ownership map to upstreams
 * that do not check fences.
 *
 * <p>The leader issues the lease together with the map. Its validity counts from a time on the
 * entry VM's own clock, which the entry VM sent in its lease request. The deadline of a request
 * routed under the lease must not be later than the end of the lease.
 *
 * @param mapVersion version of the ownership map by which the entry VM may route
 * @param validUntilMs time on the entry VM's clock at which the lease expires, in milliseconds
 */
public record RoutingLease(Fence mapVersion, long validUntilMs) {

  /**
   * Returns the lease that a leader's answer grants.
   *
   * @param mapVersion version of the ownership map in the answer
   * @param requestedMs time on the entry VM's clock before it sent the request, in milliseconds
   * @param timing supplies the TTL, which is that of a grant
   */
  public static RoutingLease granted(Fence mapVersion, long requestedMs, OwnershipTiming timing) {
    Assert.notNull(mapVersion, "mapVersion");
    return new RoutingLease(mapVersion, requestedMs + timing.grantTtlMs());
  }

  /** Returns whether the entry VM may route by a version of the ownership map now. */
  public boolean allows(Fence version, long nowMs) {
    return mapVersion.equals(version) && nowMs < validUntilMs;
  }
}
