package org.foxtailford.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.foxtailford.core.load.SliceLoadAggregator;
import org.foxtailford.core.membership.PauseDetector;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.ElectionScheduler;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.ownership.HomeMover;
import org.foxtailford.core.ownership.HomePlanner;
import org.foxtailford.core.ownership.LeaderMonitor;
import org.foxtailford.core.ownership.LeaseCandidates;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipPublisher;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.ownership.PlacementSetup;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.placement.LoadAwarePolicy;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.OwnershipSettings;

/**
 * This VM's part in leading its data centre: the lease, the leader's rounds, and the moves of
 * homes.
 *
 * <p>A pause during which the elapsed-time clock stood still gives the lease up before anything is
 * sent, since that clock would still show it as valid. Not thread-safe: all calls run on the
 * control executor.
 */
public final class Leadership {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long PLACEMENT_INTERVAL_MS = 1000;
  private static final int LEASE_CANDIDATES = 3;
  private static final int WATCH_INTERVAL_MS = 1000;

  private final String dataCentre;
  private final LeaseElection election;
  private final ElectionScheduler electionRounds;
  private final DataCentreLeader leader;
  private final SliceLoadAggregator loads;
  private final HomeMover homeMover;
  private final PauseDetector pauses;
  private final RouterMetrics metrics;
  private volatile boolean leads;

  /**
   * The table service with two timeouts.
   *
   * @param lease its calls end well before the lease does
   * @param other for everything else
   */
  public record Tables(TableService lease, TableService other) {}

  /**
   * Creates a part without a lease.
   *
   * @param self this VM
   * @param settings timing
   * @param tables the table service
   * @param grants grants of upstreams
   * @param publisher receives new owners
   * @param state configuration and homes
   * @param liveEntryVms gives the entry VMs of the data centre that seem live
   * @param pollHomes reads the homes again
   * @param metrics counters
   * @param clock clock of this VM
   * @param writeIds gives a number never given before
   * @param control executor of all callbacks
   */
  public Leadership(
      PeerIdentity self,
      OwnershipSettings settings,
      Tables tables,
      UpstreamGrants grants,
      OwnershipPublisher publisher,
      RoutingState state,
      Supplier<List<String>> liveEntryVms,
      Supplier<CompletableFuture<Void>> pollHomes,
      RouterMetrics metrics,
      MillisClock clock,
      LongSupplier writeIds,
      Executor control) {
    this.dataCentre = self.dataCentre();
    this.metrics = Assert.notNull(metrics, "metrics");
    OwnershipTiming timing = OwnershipTiming.of(settings);
    loads = new SliceLoadAggregator(clock, SliceLoadAggregator.HALF_LIFE_MS);
    election =
        new LeaseElection(
            LeaderMonitor.rowKey(dataCentre),
            self.vm(),
            self.bootId(),
            timing,
            tables.lease(),
            clock,
            writeIds,
            control);
    electionRounds =
        new ElectionScheduler(
            self.vm(), election, new LeaseCandidates(dataCentre, LEASE_CANDIDATES), liveEntryVms);
    leader =
        new DataCentreLeader(
            dataCentre,
            election,
            timing,
            grants,
            new PlacementSetup(new LoadAwarePolicy(), loads, PLACEMENT_INTERVAL_MS),
            publisher,
            () -> state.snapshot().configuration(),
            state::homes,
            new OwnershipMeters(metrics),
            clock,
            control);
    election.addAcquiredListener(() -> pollHomes.get().thenRunAsync(leader::tick, control));
    homeMover =
        new HomeMover(
            dataCentre,
            leader,
            new HomePlanner(settings.getHomeMovesAtOnce()),
            new LeaderMonitor(timing, WATCH_INTERVAL_MS, tables.other(), clock, writeIds, control),
            () -> state.snapshot().configuration(),
            tables.other(),
            writeIds,
            pollHomes::get,
            clock,
            control);
    pauses = new PauseDetector(clock, System::currentTimeMillis, timing.trustedLeaseMs());
  }

  /** Runs one round. Called at every renewal interval. */
  public void tick() {
    notePause(pauses.check());
    electionRounds.tick();
    leader.tick();
    homeMover.tick();
    boolean now = leader.isLeading();
    if (now && !leads) {
      metrics.leadershipGained();
      logger.atInfo().log("leads data centre %s", dataCentre);
    }
    if (!now && leads) {
      logger.atInfo().log("no longer leads data centre %s", dataCentre);
    }
    leads = now;
  }

  private void notePause(PauseDetector.Pause pause) {
    if (pause.lengthMs() > 0) {
      metrics.pause();
      logger.atWarning().log(
          "the process stood still for %d ms, %d ms of them unseen by its clock",
          pause.lengthMs(), pause.uncountedMs());
    }
    if (pause.uncountedMs() > 0) {
      election.abandon();
    }
  }

  /** Returns where reports of load go while this VM leads. */
  public SliceLoadAggregator loads() {
    return loads;
  }

  /** Tells whether this VM led its data centre at the last round. Thread-safe. */
  public boolean leads() {
    return leads;
  }

  /** Returns the epoch under which this VM holds the lease at this moment. */
  public Optional<Long> leadingEpoch() {
    return lease().map(HeldLease::epoch);
  }

  /** Returns the lease if this VM holds it at this moment. */
  public Optional<HeldLease> lease() {
    return election.lease();
  }
}
