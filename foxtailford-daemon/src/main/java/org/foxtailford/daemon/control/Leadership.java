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
 * Runs leader election for this VM's data centre and, while this VM is the leader, slice placement
 * and the moves of homes.
 *
 * <p>After a pause that the elapsed-time clock did not count, the lease is abandoned before
 * anything is sent, because that clock would still show the lease as valid. Not thread-safe unless
 * noted: all calls run on the control executor.
 */
public final class Leadership {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long PLACEMENT_INTERVAL_MS = 1000;
  private static final int MAX_LEASE_CANDIDATES = 3;
  private static final int LEADER_CHECK_INTERVAL_MS = 1000;

  private final String dataCentre;
  private final LeaseElection election;
  private final ElectionScheduler electionScheduler;
  private final DataCentreLeader leader;
  private final SliceLoadAggregator loads;
  private final HomeMover homeMover;
  private final PauseDetector pauseDetector;
  private final RouterMetrics metrics;
  private volatile boolean leading;

  /**
   * Clients of the table service with different timeouts.
   *
   * @param lease for lease calls, which time out well before the lease expires
   * @param other for all other calls
   */
  public record Tables(TableService lease, TableService other) {}

  /**
   * Creates an instance that does not hold the lease.
   *
   * @param self identity of this VM
   * @param settings lease and grant times, and the limit of concurrent home moves
   * @param tables clients of the table service
   * @param grants sends grants to upstreams
   * @param publisher publishes new owners
   * @param state supplies configuration and homes
   * @param liveEntryVms supplies the entry VMs of the data centre that are considered live
   * @param pollHomes reads the homes from the table
   * @param metrics counts leadership changes, pauses, grants and slice changes
   * @param clock elapsed-time clock of this VM
   * @param writeIds supplies a unique number for each write
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
    electionScheduler =
        new ElectionScheduler(
            self.vm(),
            election,
            new LeaseCandidates(dataCentre, MAX_LEASE_CANDIDATES),
            liveEntryVms);
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
            new OwnershipMetrics(metrics),
            clock,
            control);
    election.addAcquiredListener(() -> pollHomes.get().thenRunAsync(leader::tick, control));
    homeMover =
        new HomeMover(
            dataCentre,
            leader,
            new HomePlanner(settings.getHomeMovesAtOnce()),
            new LeaderMonitor(
                timing, LEADER_CHECK_INTERVAL_MS, tables.other(), clock, writeIds, control),
            () -> state.snapshot().configuration(),
            tables.other(),
            writeIds,
            pollHomes::get,
            clock,
            control);
    pauseDetector = new PauseDetector(clock, System::currentTimeMillis, timing.trustedLeaseMs());
  }

  /** Runs one election, placement and home-move round. Called once per renewal interval. */
  public void tick() {
    handlePause(pauseDetector.check());
    electionScheduler.tick();
    leader.tick();
    homeMover.tick();
    boolean nowLeading = leader.isLeading();
    if (nowLeading && !leading) {
      metrics.leadershipGained();
      logger.atInfo().log("became leader of data centre %s", dataCentre);
    }
    if (!nowLeading && leading) {
      logger.atInfo().log("no longer leader of data centre %s", dataCentre);
    }
    leading = nowLeading;
  }

  private void handlePause(PauseDetector.Pause pause) {
    if (pause.lengthMs() > 0) {
      metrics.pause();
      logger.atWarning().log(
          "process paused for %d ms, of which its clock did not count %d ms",
          pause.lengthMs(), pause.uncountedMs());
    }
    if (pause.uncountedMs() > 0) {
      election.abandon();
    }
  }

  /** Returns the aggregator of the load reports that this VM receives as leader. */
  public SliceLoadAggregator loads() {
    return loads;
  }

  /** Returns whether this VM was the leader of its data centre at the last round. Thread-safe. */
  public boolean isLeading() {
    return leading;
  }

  /** Returns the epoch of the lease, or empty if this VM does not currently hold it. */
  public Optional<Long> leadingEpoch() {
    return lease().map(HeldLease::epoch);
  }

  /** Returns the lease, or empty if this VM does not currently hold it. */
  public Optional<HeldLease> lease() {
    return election.lease();
  }
}
