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
 * Grants gate leases while this VM is the leader of its data centre. Each term starts with a new
 * {@link GateLeaseManager}.
 *
 * <p>Not thread-safe: all methods must be called on the control executor.
 */
final class GateLeaseIssuer {

  private final String dataCentre;
  private final GateMembership membership;
  private final GuardedUpstreams upstreams;
  private final GateTiming timing;
  private final MillisClock clock;
  private @Nullable Term term;

  private record Term(long epoch, GateLeaseManager manager) {}

  GateLeaseIssuer(
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
   * Grants or renews the gate lease of one entry VM.
   *
   * @param requester the incarnation of the entry VM that requests the lease
   * @param asOfMs reading of the requester's clock, in milliseconds, when it sent the request
   * @return the lease, or empty unless this VM holds the leadership lease
   */
  Optional<GateLease> renew(VmIncarnation requester, long asOfMs) {
    return membership.leadership().map(lease -> renew(lease, requester, asOfMs));
  }

  private GateLease renew(HeldLease lease, VmIncarnation requester, long asOfMs) {
    Term current = term;
    if (current == null || current.epoch() != lease.epoch()) {
      current = new Term(lease.epoch(), new GateLeaseManager(timing, lease.acquiredMs()));
      term = current;
    }
    return current
        .manager()
        .renew(
            requester,
            asOfMs,
            upstreams.namesIn(dataCentre),
            membership.liveVms(),
            lease.validUntilMs(),
            clock.nowMs());
  }
}
