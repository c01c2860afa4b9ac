package org.foxtailford.core.ownership;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.load.SliceLoadAggregator;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.HomeRanges;
import org.jspecify.annotations.Nullable;

/**
 * Assigns the slices of one data centre to its upstreams while this VM holds the leader lease.
 *
 * <p>A slice changes owner only after the old owner has accepted a grant without it, has restarted,
 * or can no longer hold an unexpired grant. On taking over, the leader raises the fence at each
 * upstream and adopts the slices that it holds. A slice that no reachable upstream holds stays
 * without an owner until every grant of an earlier leader has lapsed.
 *
 * <p>If the lease lapses because the table service is unavailable, the leader continues while a
 * majority of the arbiters named in its leader record accepts its fences. Its grants then expire by
 * the time at which that majority last accepted one. A new leader extends no grant until it has
 * excluded the earlier leader at a majority of those arbiters, and adopts only what it reads after
 * that.
 *
 * <p>Not thread-safe: all calls and callbacks run on one executor.
 */
public final class DataCentreLeader {

  private final String dataCentre;
  private final LeaderAuthority authority;
  private final OwnershipTiming timing;
  private final SlicePlacer placer;
  private final GrantExchange exchange;
  private final OwnershipPublisher publisher;
  private final Supplier<ConfigurationView> configuration;
  private final Supplier<HomesSnapshot> homes;
  private final OwnershipListener listener;
  private final MillisClock clock;

  private @Nullable LeaderTerm term;

  /** Creates a leader that plans placement in every round, without load reports. */
  public DataCentreLeader(
      String dataCentre,
      LeaseElection election,
      OwnershipTiming timing,
      UpstreamGrants grants,
      PlacementPolicy policy,
      OwnershipPublisher publisher,
      Supplier<ConfigurationView> configuration,
      Supplier<HomesSnapshot> homes,
      MillisClock clock,
      Executor control) {
    this(
        dataCentre,
        election,
        timing,
        grants,
        new PlacementSetup(
            policy, new SliceLoadAggregator(clock, SliceLoadAggregator.HALF_LIFE_MS), 0),
        publisher,
        configuration,
        homes,
        OwnershipListener.NONE,
        clock,
        control);
  }

  /**
   * Creates a leader.
   *
   * @param dataCentre name of the data centre
   * @param election election that acquires and renews the leader lease
   * @param timing TTLs of leases and grants
   * @param grants client of the upstreams' grant interface
   * @param placement decides which upstream owns which slice
   * @param publisher receives each new version of the owners
   * @param configuration returns the configuration in force
   * @param homes returns the latest reading of the homes of ranges
   * @param listener notified of grants and of changes to slices
   * @param clock clock of this VM
   * @param control executor of all callbacks
   */
  public DataCentreLeader(
      String dataCentre,
      LeaseElection election,
      OwnershipTiming timing,
      UpstreamGrants grants,
      PlacementSetup placement,
      OwnershipPublisher publisher,
      Supplier<ConfigurationView> configuration,
      Supplier<HomesSnapshot> homes,
      OwnershipListener listener,
      MillisClock clock,
      Executor control) {
    this.dataCentre = Assert.hasLength(dataCentre, "dataCentre");
    this.timing = Assert.notNull(timing, "timing");
    this.publisher = Assert.notNull(publisher, "publisher");
    this.configuration = Assert.notNull(configuration, "configuration");
    this.homes = Assert.notNull(homes, "homes");
    this.listener = Assert.notNull(listener, "listener");
    this.clock = Assert.notNull(clock, "clock");
    authority = new LeaderAuthority(election, timing, clock);
    placer = new SlicePlacer(dataCentre, timing, placement, configuration, homes, clock);
    exchange =
        new GrantExchange(
            authority, timing, grants, () -> Optional.ofNullable(term), listener, clock, control);
    election.addAcquiredListener(this::tick);
  }

  /** Runs one round. To be called at every renewal interval. */
  public void tick() {
    Optional<HeldLease> lease = authority.lease();
    if (lease.isEmpty()) {
      return;
    }
    LeaderTerm current = termFor(lease.get());
    refreshSessions(current);
    releaseLapsed(current);
    authority.activateIfPredecessorsExcluded(current);
    boolean mayPlace = current.activeSinceMs().isPresent() && hasCurrentHomes(current);
    if (mayPlace && authority.confirmedAtMs(current).isPresent()) {
      placer.placeAll(current);
      authority.proposeArbiters(current);
    }
    current.sessions().values().forEach(session -> exchange.sendNext(current, session));
    if (current.getAndClearChanged()) {
      publisher.publish(CheckpointAssembler.assemble(dataCentre, current));
      placer.recordPublished(current);
    }
  }

  private LeaderTerm termFor(HeldLease lease) {
    LeaderTerm current = term;
    if (current == null || current.epoch() != lease.epoch()) {
      current = new LeaderTerm(lease.epoch(), lease.acquiredMs(), listener);
      term = current;
    }
    return current;
  }

  /**
   * Returns whether the homes were read after this VM acquired the lease. Older ones may lack a
   * move that an earlier leader completed.
   */
  private boolean hasCurrentHomes(LeaderTerm current) {
    return homes.get().asOfMs() >= current.acquiredMs();
  }

  /** Returns the epoch under which this VM leads its data centre; empty if it does not lead now. */
  public OptionalLong leadingEpoch() {
    LeaderTerm current = term;
    return current != null && isLeading() ? OptionalLong.of(current.epoch()) : OptionalLong.empty();
  }

  /** Returns whether this VM leads its data centre now. */
  public boolean isLeading() {
    LeaderTerm current = term;
    return current != null
        && authority.isUnsuperseded(current)
        && authority.confirmedAtMs(current).isPresent();
  }

  /**
   * Returns whether no upstream of this data centre can still hold a key of a range and, by the
   * homes known to this leader, none will receive one. Returns false if this VM does not hold the
   * lease.
   */
  public boolean isReleased(String service, SliceRange range) {
    LeaderTerm current = term;
    if (current == null
        || current.activeSinceMs().isEmpty()
        || !hasCurrentHomes(current)
        || !placer.mayPlace(current, service)
        || !authority.holdsLease(current)) {
      return false;
    }
    boolean lapsed = clock.nowMs() >= current.activeSinceMs().getAsLong() + timing.grantExpiryMs();
    boolean held =
        current.slices().overlapping(service, range).stream()
            .anyMatch(state -> state.assignment().isPresent());
    return lapsed && !held && !placer.mayOwn(current, service, range);
  }

  /**
   * Records that a home row is about to be written that hands slices released by this data centre
   * over to their next homes.
   *
   * @param row the row as it was read, without the handover
   */
  public void recordPendingHandover(HomeRanges row) {
    placer.recordPendingHandover(row);
  }

  /**
   * Records that the table service responded to a call.
   *
   * @param sentMs time at which the call was sent, on the clock of this VM
   */
  public void recordTableResponse(long sentMs) {
    placer.recordTableResponse(sentMs);
  }

  private void refreshSessions(LeaderTerm current) {
    configuration.get().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .flatMap(service -> service.upstreams().stream())
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .forEach(upstream -> refreshSession(current, upstream));
  }

  /**
   * Refreshes the session of one upstream. A VM whose name moved to another address may still be
   * running, so the session is replaced only after its last grant has lapsed.
   */
  private void refreshSession(LeaderTerm current, Upstream upstream) {
    String name = upstream.name();
    UpstreamSession session =
        current.sessions().computeIfAbsent(name, absent -> new UpstreamSession(upstream));
    session.refresh(upstream, clock.nowMs());
    if (session.isReplacedSince(clock.nowMs() - timing.grantExpiryMs())) {
      current.releaseAll(name, clock.nowMs());
      current.sessions().put(name, new UpstreamSession(upstream));
    }
  }

  private void releaseLapsed(LeaderTerm current) {
    long answeredAfterMs = clock.nowMs() - timing.grantExpiryMs();
    for (UpstreamSession session : current.sessions().values()) {
      if (!session.answeredSince(answeredAfterMs)) {
        session.markLapsed();
        current.releaseAll(session.upstream().name(), clock.nowMs());
      }
    }
  }
}
