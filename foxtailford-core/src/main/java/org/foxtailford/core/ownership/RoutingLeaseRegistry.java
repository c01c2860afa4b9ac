package org.foxtailford.core.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Records the routing leases that a leader issued, and determines from them when slices of
 * upstreams that do not check fences may change owner.
 *
 * <p>Such an upstream accepts requests from any sender, so the entry VMs must stop sending to the
 * old owner first: a slice moves only when every entry VM either uses a map without the old owner
 * or can no longer hold a valid routing lease on an older map. Only a leader with a valid lease on
 * the table row may issue leases and move slices. A new leader does not know the leases that its
 * predecessor issued and waits for a full TTL. Not thread-safe.
 */
public final class RoutingLeaseRegistry {

  private final LeaseElection election;
  private final OwnershipTiming timing;
  private final MillisClock clock;

  /** Latest lease by entry VM. */
  private final Map<String, IssuedLease> newest = new HashMap<>();

  /** Earlier leases by entry VM, merged into one; an entry VM may still route by them. */
  private final Map<String, IssuedLease> older = new HashMap<>();

  private long epoch;

  /** A lease and the time on this VM's clock from which it has expired on every clock. */
  private record IssuedLease(Fence mapVersion, long expiresMs) {

    /** Returns a lease on the older of both versions that expires when both have expired. */
    IssuedLease merge(IssuedLease other) {
      boolean isOlder = mapVersion.compareTo(other.mapVersion) <= 0;
      return new IssuedLease(
          isOlder ? mapVersion : other.mapVersion, Math.max(expiresMs, other.expiresMs));
    }
  }

  /**
   * Creates a registry without leases.
   *
   * @param election election whose lease the leader must hold
   * @param timing TTLs and clock margins
   * @param clock clock of this VM
   */
  public RoutingLeaseRegistry(LeaseElection election, OwnershipTiming timing, MillisClock clock) {
    this.election = Assert.notNull(election, "election");
    this.timing = Assert.notNull(timing, "timing");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Issues a routing lease if this VM holds the leader's lease.
   *
   * @param entryVm name of the entry VM that requests the lease
   * @param mapVersion version of the ownership map that the entry VM would receive
   * @return whether the lease was issued
   */
  public boolean issue(String entryVm, Fence mapVersion) {
    if (currentLease().isEmpty()) {
      return false;
    }
    long expiresMs = clock.nowMs() + timing.grantExpiryMs();
    IssuedLease last = newest.put(entryVm, new IssuedLease(mapVersion, expiresMs));
    if (last != null && !last.mapVersion().equals(mapVersion)) {
      older.merge(entryVm, last, IssuedLease::merge);
    }
    return true;
  }

  /** Records that an entry VM now routes by the given version and by no earlier one. */
  public void acknowledge(String entryVm, Fence mapVersion) {
    older.computeIfPresent(
        entryVm, (vm, issued) -> issued.mapVersion().compareTo(mapVersion) < 0 ? null : issued);
  }

  /**
   * Returns whether no entry VM can still route by an ownership map older than the given version.
   * Returns false if this VM does not hold the leader's lease.
   */
  public boolean allExpiredBefore(Fence mapVersion) {
    Optional<HeldLease> lease = currentLease();
    if (lease.isEmpty()) {
      return false;
    }
    long nowMs = clock.nowMs();
    boolean predecessorExpired = nowMs >= lease.get().acquiredMs() + timing.grantExpiryMs();
    return predecessorExpired
        && allExpiredBefore(newest, mapVersion, nowMs)
        && allExpiredBefore(older, mapVersion, nowMs);
  }

  private static boolean allExpiredBefore(
      Map<String, IssuedLease> leases, Fence version, long nowMs) {
    return leases.values().stream()
        .allMatch(
            issued -> issued.mapVersion().compareTo(version) >= 0 || nowMs >= issued.expiresMs());
  }

  private Optional<HeldLease> currentLease() {
    Optional<HeldLease> lease = election.lease();
    if (lease.isPresent() && lease.get().epoch() != epoch) {
      epoch = lease.get().epoch();
      newest.clear();
      older.clear();
    }
    return lease;
  }
}
