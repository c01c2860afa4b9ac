package org.foxtailford.core.ownership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Tells a leader when slices of upstreams that do not check fences may change owner.
 *
 * <p>Such an upstream obeys anyone, so the old owner is cut off at the senders: a slice moves only
 * when every entry VM either uses a map without the old owner or can no longer hold a live routing
 * lease on an older one. Only a leader with a live table lease may order; a new leader does not
 * know the leases of the earlier one and waits for the whole time to live. Not thread-safe.
 */
public final class RoutingLeaseLedger {

  private final LeaseElection election;
  private final OwnershipTiming timing;
  private final MillisClock clock;
  private final Map<String, Issued> newest = new HashMap<>();
  private final Map<String, Issued> older = new HashMap<>();
  private long epoch;

  private record Issued(Fence mapVersion, long lapsedMs) {

    /** Returns a lease that lapses as late as both, on the older version of both. */
    Issued merge(Issued other) {
      boolean older = mapVersion.compareTo(other.mapVersion) <= 0;
      return new Issued(older ? mapVersion : other.mapVersion, Math.max(lapsedMs, other.lapsedMs));
    }
  }

  public RoutingLeaseLedger(LeaseElection election, OwnershipTiming timing, MillisClock clock) {
    this.election = Assert.notNull(election, "election");
    this.timing = Assert.notNull(timing, "timing");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Decides on a request for a lease.
   *
   * @param entryVm VM that asks
   * @param mapVersion version of the owners that it would receive
   * @return whether the lease may be given
   */
  public boolean issue(String entryVm, Fence mapVersion) {
    if (currentLease().isEmpty()) {
      return false;
    }
    long lapsedMs = clock.nowMs() + timing.grantExpiryMs();
    Issued last = newest.put(entryVm, new Issued(mapVersion, lapsedMs));
    if (last != null && !last.mapVersion().equals(mapVersion)) {
      older.merge(entryVm, last, Issued::merge);
    }
    return true;
  }

  /** Notes that an entry VM sends by a version now and by no earlier one. */
  public void acknowledge(String entryVm, Fence mapVersion) {
    older.computeIfPresent(
        entryVm, (vm, issued) -> issued.mapVersion().compareTo(mapVersion) < 0 ? null : issued);
  }

  /** Tells whether no entry VM can send by an owner map before the given version any more. */
  public boolean lapsedBefore(Fence mapVersion) {
    Optional<HeldLease> lease = currentLease();
    if (lease.isEmpty()) {
      return false;
    }
    long nowMs = clock.nowMs();
    boolean predecessorLapsed = nowMs >= lease.get().acquiredMs() + timing.grantExpiryMs();
    return predecessorLapsed
        && lapsedBefore(newest, mapVersion, nowMs)
        && lapsedBefore(older, mapVersion, nowMs);
  }

  private static boolean lapsedBefore(Map<String, Issued> leases, Fence version, long nowMs) {
    return leases.values().stream()
        .allMatch(i -> i.mapVersion().compareTo(version) >= 0 || nowMs >= i.lapsedMs());
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
