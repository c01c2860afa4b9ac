package org.foxtailford.core.ownership;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.Arbiter;

/**
 * Determines up to which time the authority of a leader is confirmed.
 *
 * <p>While the leader holds the lease, that is the current time. Without the lease, it is the
 * latest time since which a majority of the arbiters has accepted its requests, provided that the
 * time allowed without the table service is not over. Not thread-safe.
 */
final class LeaderAuthority {

  private static final int MAX_ARBITERS = 5;

  private final LeaseElection election;
  private final OwnershipTiming timing;
  private final MillisClock clock;

  LeaderAuthority(LeaseElection election, OwnershipTiming timing, MillisClock clock) {
    this.election = Assert.notNull(election, "election");
    this.timing = Assert.notNull(timing, "timing");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Returns the lease under which the leader may continue, even if it has lapsed. */
  Optional<HeldLease> lease() {
    return election.unsupersededLease().filter(this::mayContinue);
  }

  /** Returns whether no later leader is known to have taken over from a term. */
  boolean isUnsuperseded(LeaderTerm term) {
    return election.unsupersededLease().filter(lease -> lease.epoch() == term.epoch()).isPresent();
  }

  /** Returns whether the lease of a term is held now. */
  boolean holdsLease(LeaderTerm term) {
    return election.lease().filter(lease -> lease.epoch() == term.epoch()).isPresent();
  }

  private boolean mayContinue(HeldLease lease) {
    long lapsedMs = clock.nowMs() - lease.validUntilMs();
    return lapsedMs < 0 || lapsedMs < timing.holdWithoutTableMs();
  }

  /**
   * Returns a time at which no later leader had taken over, from which the TTL of grants is
   * counted; empty if there is none recent enough for a grant.
   */
  OptionalLong confirmedAtMs(LeaderTerm term) {
    long nowMs = clock.nowMs();
    if (election.lease().isPresent()) {
      return OptionalLong.of(nowMs);
    }
    if (lease().isEmpty()) {
      return OptionalLong.empty();
    }
    OptionalLong since = ArbiterQuorum.acceptedSince(election.possibleArbiters(), term.sessions());
    boolean recent = since.isPresent() && nowMs - since.getAsLong() < timing.grantTtlMs();
    return recent ? since : OptionalLong.empty();
  }

  /** Activates a term once every earlier leader is excluded. */
  void activateIfPredecessorsExcluded(LeaderTerm term) {
    boolean holdExpired = clock.nowMs() - term.acquiredMs() >= timing.holdExpiryMs();
    boolean predecessorsExcluded =
        timing.holdWithoutTableMs() == 0
            || holdExpired
            || ArbiterQuorum.excludesEarlierLeaders(election.inheritedArbiters(), term.sessions());
    if (term.activeSinceMs().isEmpty() && predecessorsExcluded) {
      term.activate(clock.nowMs());
    }
  }

  /**
   * Proposes other arbiters if there are too few or if one of them has not accepted a fence of the
   * term.
   */
  void proposeArbiters(LeaderTerm term) {
    List<Arbiter> proposed = election.proposedArbiters();
    List<UpstreamSession> fenced =
        term.sessions().values().stream().filter(UpstreamSession::isFenced).toList();
    boolean hasEnough = proposed.size() >= Math.min(MAX_ARBITERS, fenced.size());
    if (!hasEnough || !proposed.stream().allMatch(arbiter -> hasAcceptedFence(term, arbiter))) {
      election.proposeArbiters(
          fenced.stream().limit(MAX_ARBITERS).map(LeaderAuthority::arbiter).toList());
    }
  }

  private static boolean hasAcceptedFence(LeaderTerm term, Arbiter arbiter) {
    UpstreamSession session = term.sessions().get(arbiter.getUpstream());
    return session != null && session.isFenced() && session.bootId() == arbiter.getBootId();
  }

  private static Arbiter arbiter(UpstreamSession session) {
    return Arbiter.newBuilder()
        .setUpstream(session.upstream().name())
        .setBootId(session.bootId())
        .setAddress(session.upstream().address())
        .build();
  }
}
