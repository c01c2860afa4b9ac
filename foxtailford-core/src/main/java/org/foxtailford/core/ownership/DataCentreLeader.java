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
 * Assigns the slices of one data centre to its upstreams while this VM holds the leader's lease.
 *
 * <p>A slice changes owner only after the old owner accepted a grant without it, restarted, or can
 * no longer hold an unexpired grant. On taking over, the leader raises the fence at each upstream
 * and adopts what it holds; a slice that no reachable upstream holds stays free until every grant
 * of an earlier leader has lapsed.
 *
 * <p>A leader whose lease lapsed because the table is down goes on while a majority of the arbiters
 * that its row names accepts its fences. Its grants end with the proof of that majority. A new
 * leader extends nothing before it excluded the earlier one at a majority of those arbiters, and
 * adopts only what it reads after that.
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

  /** Creates a leader that places without loads, in every round. */
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
   * @param dataCentre the data centre
   * @param election the lease
   * @param timing times to live
   * @param grants grants of upstreams
   * @param placement decides which upstream receives which slice
   * @param publisher receives new owners
   * @param configuration gives the configuration in force
   * @param homes gives the homes of ranges
   * @param listener receives what this leader does
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

  /** Runs one round. Called at every renewal interval. */
  public void tick() {
    Optional<HeldLease> lease = authority.lease();
    if (lease.isEmpty()) {
      return;
    }
    LeaderTerm current = termOf(lease.get());
    refreshSessions(current);
    releaseLapsed(current);
    authority.closeIfExcluded(current);
    boolean mayPlace = current.closedMs().isPresent() && knowsHomes(current);
    if (mayPlace && authority.provenMs(current).isPresent()) {
      placer.placeAll(current);
      authority.proposeArbiters(current);
    }
    current.sessions().values().forEach(session -> exchange.exchange(current, session));
    if (current.takeChanged()) {
      publisher.publish(CheckpointAssembler.assemble(dataCentre, current));
      placer.notePublished(current);
    }
  }

  private LeaderTerm termOf(HeldLease lease) {
    LeaderTerm current = term;
    if (current == null || current.epoch() != lease.epoch()) {
      current = new LeaderTerm(lease.epoch(), lease.acquiredMs(), listener);
      term = current;
    }
    return current;
  }

  /** Homes read before the term may lack a move that an earlier leader completed. */
  private boolean knowsHomes(LeaderTerm current) {
    return homes.get().asOfMs() >= current.acquiredMs();
  }

  /** Returns the epoch under which this VM leads its data centre at this moment. */
  public OptionalLong leadingEpoch() {
    LeaderTerm current = term;
    return current != null && leads() ? OptionalLong.of(current.epoch()) : OptionalLong.empty();
  }

  /** Tells whether this VM leads its data centre at this moment. */
  public boolean leads() {
    LeaderTerm current = term;
    return current != null
        && authority.unsuperseded(current)
        && authority.provenMs(current).isPresent();
  }

  /**
   * Tells whether no upstream of this data centre can hold a key of a range any more, and none will
   * receive one by the homes that this leader sees.
   */
  public boolean released(String service, SliceRange range) {
    LeaderTerm current = term;
    if (current == null
        || current.closedMs().isEmpty()
        || !knowsHomes(current)
        || !placer.mayPlace(current, service)
        || !authority.holdsLease(current)) {
      return false;
    }
    boolean lapsed = clock.nowMs() >= current.closedMs().getAsLong() + timing.lapsedGrantMs();
    boolean held =
        current.slices().overlapping(service, range).stream()
            .anyMatch(state -> state.assignment().isPresent());
    return lapsed && !held && !placer.plans(current, service, range);
  }

  /**
   * Notes that a row is about to be written which gives slices released here to their next homes.
   *
   * @param row the row as it was read, without them
   */
  public void handsOver(HomeRanges row) {
    placer.handsOver(row);
  }

  /** Notes that the table answered a call that was sent at a reading of this VM's clock. */
  public void tableAnswered(long sentMs) {
    placer.tableAnswered(sentMs);
  }

  private void refreshSessions(LeaderTerm current) {
    configuration.get().services().values().stream()
        .filter(service -> service.definition().getKeyed())
        .flatMap(service -> service.upstreams().stream())
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .forEach(upstream -> refreshSession(current, upstream));
  }

  /** A VM that was replaced at another address may still run; its last grant has to lapse first. */
  private void refreshSession(LeaderTerm current, Upstream upstream) {
    String name = upstream.name();
    UpstreamSession session =
        current.sessions().computeIfAbsent(name, absent -> new UpstreamSession(upstream));
    session.refresh(upstream, clock.nowMs());
    if (session.replacedBy(clock.nowMs() - timing.lapsedGrantMs())) {
      current.releaseAll(name, clock.nowMs());
      current.sessions().put(name, new UpstreamSession(upstream));
    }
  }

  private void releaseLapsed(LeaderTerm current) {
    long answeredAfterMs = clock.nowMs() - timing.lapsedGrantMs();
    for (UpstreamSession session : current.sessions().values()) {
      if (!session.answeredSince(answeredAfterMs)) {
        session.noteLapsed();
        current.releaseAll(session.upstream().name(), clock.nowMs());
      }
    }
  }
}
