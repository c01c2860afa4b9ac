package org.foxtailford.daemon.coldstart;

import java.util.Optional;
import org.foxtailford.core.coldstart.GateLease;
import org.foxtailford.core.coldstart.GateLeaseManager;
import org.foxtailford.core.coldstart.GateTiming;
import org.foxtailford.core.coldstart.VmIncarnation;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.jspecify.annotations.Nullable;

/**
 * Leases gates while this VM leads its data centre, with a new keeper for each term.
 *
 * <p>Not thread-safe: all calls run on the control executor.
 */
final class GateLeases {

  private final String dataCentre;
  private final GateMembership membership;
  private final GuardedUpstreams upstreams;
  private final GateTiming timing;
  private final MillisClock clock;
  private @Nullable Term term;

  private record Term(long epoch, GateLeaseManager keeper) {}

  GateLeases(
      String dataCentre,
      GateMembership membership,
      GuardedUpstreams upstreams,
      GateTiming timing,
      MillisClock clock) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.membership = Assert.notNull(membership, "membership");
    this.upstreams = Assert.notNull(upstreams, "upstreams");
    this.timing = Assert.notNull(timing, "timing");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Leases or renews the gates of one entry VM.
   *
   * @param member who asks
   * @param asOfMs reading of its clock when it asked
   * @return empty unless this VM holds the lease of the leader
   */
  Optional<GateLease> renew(VmIncarnation member, long asOfMs) {
    return membership.leadership().map(lease -> renew(lease, member, asOfMs));
  }

  private GateLease renew(HeldLease lease, VmIncarnation member, long asOfMs) {
    Term current = term;
    if (current == null || current.epoch() != lease.epoch()) {
      current = new Term(lease.epoch(), new GateLeaseManager(timing, lease.acquiredMs()));
      term = current;
    }
    return current
        .keeper()
        .renew(
            member,
            asOfMs,
            upstreams.namesIn(dataCentre),
            membership.liveVms(),
            lease.validUntilMs(),
            clock.nowMs());
  }
}
