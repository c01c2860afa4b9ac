package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.Executor;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.EarlierGrants;
import org.foxtailford.core.range.LeadershipTerms;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.range.OwnerCapacities;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeCandidate;
import org.foxtailford.core.range.RangeCommand;
import org.foxtailford.core.range.RangeCommandClient;
import org.foxtailford.core.range.RangeController;
import org.foxtailford.core.range.RangeMap;
import org.foxtailford.core.range.RangeOwner;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.time.ClockReading;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.RenewalRecord;

/**
 * Performs the leader's tasks during one term: renews the leadership, grants keys, and writes their
 * owners to the store. Confined to the event loop.
 */
final class LeaderTasks implements RangeExecutor.Listener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Time between two writes of the owners for each entry VM that gets them, in milliseconds; with a
   * hundred VMs, a move waits for 0.1 s on average.
   */
  private static final long WRITE_INTERVAL_PER_VM_MS = 2;

  /** Age at which the capacities of upstreams are computed again, in milliseconds. */
  private static final long CAPACITY_AGE_MS = 500;

  /**
   * Capacities of a service's upstreams.
   *
   * @param entries the upstreams
   * @param capacities capacity of each
   * @param atMs when they were computed, in milliseconds
   */
  private record Capacities(List<UpstreamEntry> entries, List<Double> capacities, long atMs) {}

  /** Receives the results of the leader's tasks. */
  interface Listener {

    /** Called after the range map of a service was written. */
    void onOwnersWritten(String service, RowPage page);

    /** Called when keys are about to be taken away from their owners. */
    void onReleases(String service, List<RangeAssignment> ranges);

    /** Called after this VM kept the leadership of a store that was restored from an older copy. */
    void onLeadershipKept(KnownLeader leader);

    /** Called once, after this VM has stopped leading. */
    void onLeadershipLost(String reason);
  }

  private final LeadershipKeeper keeper;
  private final RowStore store;
  private final RangeCommandClient commandClient;
  private final EntryRoutingState state;
  private final KeyLoads loads;
  private final RangeTiming timing;
  private final Listener listener;
  private final ControlClocks clocks;
  private final MillisClock clock;
  private final Executor loop;
  private final boolean noEarlierLeader;
  private final Map<String, RangeExecutor> executors = new HashMap<>();
  private final Map<String, Capacities> capacitiesByService = new HashMap<>();
  private final Map<RangeOwner, UpstreamAddress> addresses = new HashMap<>();
  private KnownLeader leader;
  private EarlierGrants earlierGrants;
  private long fenceCount;
  private long renewalCount;
  private ClockReading lastConfirmed;
  private long pauseEndedMs = Long.MIN_VALUE;
  private long nextRenewalMs;
  private boolean renewalInFlight;
  private boolean grantsAllowed = true;
  private boolean tickScheduled;
  private boolean ended;

  /**
   * Creates the tasks of a term.
   *
   * @param acquired the leadership, as the store has confirmed it
   */
  LeaderTasks(
      LeaderElection.Acquired acquired,
      RowStore store,
      RangeCommandClient commandClient,
      EntryRoutingState state,
      KeyLoads loads,
      RangeTiming timing,
      Listener listener,
      ControlClocks clocks,
      Executor loop) {
    this.leader = acquired.leader();
    this.store = store;
    this.commandClient = commandClient;
    this.state = state;
    this.loads = loads;
    this.timing = timing;
    this.listener = Assert.notNull(listener, "listener");
    this.clocks = Assert.notNull(clocks, "clocks");
    this.clock = clocks.steady();
    this.loop = Assert.notNull(loop, "loop");
    this.noEarlierLeader = acquired.firstLeader();
    this.earlierGrants = acquired.earlierGrants();
    this.keeper = new LeadershipKeeper(store, clocks, loop, new KeptLeadership());
    this.nextRenewalMs = clock.nowMs();
    this.lastConfirmed = clocks.read().minus(nextRenewalMs - acquired.confirmedMs());
  }

  KnownLeader leader() {
    return leader;
  }

  /** Performs the tasks that are due. */
  void tick() {
    ClockReading now = clocks.read();
    if (store.era() == leader.rowVersion().era()) {
      renewAsNeeded(now);
    } else if (lastConfirmed.ageMs(now) < LeadershipTiming.GRANT_RENEWAL_WINDOW_MS) {
      keeper.keep(leader);
    } else {
      end("the store was restored after grants had been paused");
    }
    boolean mayGrant = lastConfirmed.ageMs(now) < LeadershipTiming.GRANT_RENEWAL_WINDOW_MS;
    if (mayGrant != grantsAllowed) {
      grantsAllowed = mayGrant;
      logger
          .atInfo()
          .with(EventFields.FENCE, leader.term())
          .with(EventFields.AGE_MS, lastConfirmed.ageMs(now))
          .log(mayGrant ? "grants resumed" : "grants paused until leadership is confirmed");
    }
    Optional<RoutingConfiguration> configuration = state.configuration();
    if (!mayGrant || configuration.isEmpty() || ended) {
      return;
    }
    Set<String> keyed = new HashSet<>();
    for (ServicePolicy service : configuration.get().services()) {
      if (service.keyed()) {
        keyed.add(service.name());
        RangeExecutor executor = executors.computeIfAbsent(service.name(), this::newExecutor);
        executor.controller().setWriteInterval(WRITE_INTERVAL_PER_VM_MS * state.entryVms().size());
        planAndExecute(executor, candidates(service.name()));
      }
    }
    removeUnused(keyed, now.steadyMs());
  }

  /**
   * Removes the executors of services that have no keys any more. One whose grants may be in force
   * stays, since the service may come back before they have expired.
   */
  private void removeUnused(Set<String> keyed, long nowMs) {
    executors
        .entrySet()
        .removeIf(
            entry ->
                !keyed.contains(entry.getKey()) && !entry.getValue().mayHaveGrantsInForce(nowMs));
  }

  /** Plans by a time of its own, since the planning of services before may have taken long. */
  private void planAndExecute(RangeExecutor executor, List<RangeCandidate> candidates) {
    ClockReading now = clocks.read();
    long ageMs = lastConfirmed.ageMs(now);
    if (ageMs < LeadershipTiming.GRANT_RENEWAL_WINDOW_MS) {
      boolean mayMove = ageMs < LeadershipTiming.MOVE_WINDOW_MS;
      List<RangeCommand> commands =
          executor.controller().nextCommands(candidates, mayMove, now.steadyMs());
      executor.execute(commands, now.steadyMs());
    }
  }

  private RangeExecutor newExecutor(String service) {
    RangeMap known = state.owners(service);
    long era = leader.rowVersion().era();
    long storedVersion =
        state
            .mirror(SystemTables.RANGES)
            .find(service)
            .map(Row::version)
            .filter(version -> version.era() == era)
            .map(StoreVersion::number)
            .orElse(0L);
    RangeController controller =
        new RangeController(
            timing,
            () -> LeadershipTerms.fence(leader.term(), ++fenceCount),
            loads.historyOf(service),
            new RangeMap(storedVersion, known.era(), known.assignments()),
            known.isComplete(era, noEarlierLeader),
            earlierGrants.latestExpiryMs(timing),
            expired -> logExpiry(service, expired));
    return new RangeExecutor(
        service,
        controller,
        timing,
        commandClient,
        owner -> Optional.ofNullable(addresses.get(owner)),
        store,
        () -> leader.rowVersion(),
        this,
        clock,
        loop);
  }

  private static void logExpiry(String service, RangeAssignment expired) {
    logger
        .atInfo()
        .with(EventFields.SERVICE, service)
        .with(EventFields.UPSTREAM, expired.owner().upstream())
        .with(EventFields.KEYS, expired.range().first() + "-" + expired.range().last())
        .with(EventFields.FENCE, expired.fence())
        .log("grants expired without a release");
  }

  private List<RangeCandidate> candidates(String service) {
    long nowMs = clock.nowMs();
    List<UpstreamEntry> entries = state.upstreams().usable(service);
    Capacities known = capacitiesByService.get(service);
    if (known == null || known.entries() != entries || nowMs - known.atMs() >= CAPACITY_AGE_MS) {
      known = new Capacities(entries, capacities(service, entries, nowMs), nowMs);
      capacitiesByService.put(service, known);
    }
    List<Double> capacities = known.capacities();
    List<RangeCandidate> candidates = new ArrayList<>();
    for (int i = 0; i < entries.size(); i++) {
      UpstreamEntry entry = entries.get(i);
      RangeOwner owner = new RangeOwner(entry.id(), entry.bornMs());
      addresses.put(owner, entry.address());
      boolean cold = state.upstreams().isCold(entry.id(), nowMs);
      candidates.add(new RangeCandidate(owner, capacities.get(i), cold));
    }
    return candidates;
  }

  private List<Double> capacities(String service, List<UpstreamEntry> entries, long nowMs) {
    List<OwnerCapacities.Upstream> upstreams = new ArrayList<>();
    for (UpstreamEntry entry : entries) {
      OwnerCapacities.Upstream upstream =
          new OwnerCapacities.Upstream(entry.slots(), loads.speed(entry, nowMs));
      OptionalDouble limitedSlots = loads.limitedSlots(entry, nowMs);
      upstreams.add(
          limitedSlots.isPresent() ? upstream.limitedTo(limitedSlots.getAsDouble()) : upstream);
    }
    return OwnerCapacities.divide(upstreams, loads.busySlots(service));
  }

  private void renewAsNeeded(ClockReading now) {
    if (renewalInFlight || now.steadyMs() < nextRenewalMs || ended) {
      return;
    }
    renewalInFlight = true;
    byte[] value =
        RenewalRecord.newBuilder()
            .setTerm(leader.term())
            .setCount(++renewalCount)
            .setEarlierGrantsLeftMs(earlierGrants.leftMs(now.steadyMs()))
            .build()
            .toByteArray();
    List<RowWrite> rows =
        List.of(
            RowWrite.expect(
                SystemTables.LEADER, SystemTables.LEADER_KEY, leader.rowVersion().number()),
            RowWrite.put(SystemTables.LEADER, SystemTables.RENEWAL_KEY, -1, value));
    store
        .write(rows, leader.rowVersion().era(), TablePoller.TIMEOUT_MS)
        .whenCompleteAsync((version, failure) -> onRenewed(version, failure, now), loop);
  }

  private void onRenewed(Optional<StoreVersion> version, Throwable failure, ClockReading sent) {
    renewalInFlight = false;
    long nowMs = clock.nowMs();
    if (failure != null) {
      nextRenewalMs = nowMs + LeadershipTiming.RETRY_INTERVAL_MS;
      logger
          .atInfo()
          .with(EventFields.FENCE, leader.term())
          .with(EventFields.AGE_MS, confirmedAgeMs())
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leadership not renewed");
    } else if (version.isEmpty()) {
      end("another VM acquired leadership");
    } else {
      confirm(sent);
      long ageMs = nowMs - sent.steadyMs();
      state.ages().record(SystemTables.RANGES, state.ages().nowMs() - ageMs); // its own writes
      nextRenewalMs = sent.steadyMs() + LeadershipTiming.RENEW_INTERVAL_MS;
    }
  }

  /**
   * Records a confirmation; one that was asked for before a pause may have been overtaken in it.
   */
  private void confirm(ClockReading sent) {
    if (sent.steadyMs() > pauseEndedMs) {
      lastConfirmed = sent;
    }
  }

  /** Suspends grants after a pause of the process, until the store confirms the leadership. */
  void onPause() {
    lastConfirmed = ClockReading.LONG_AGO;
    pauseEndedMs = clock.nowMs();
    nextRenewalMs = pauseEndedMs + 1;
  }

  /** Stops leading; no keys are granted from then on. */
  void end(String reason) {
    if (!ended) {
      ended = true;
      executors.values().forEach(RangeExecutor::stop);
      listener.onLeadershipLost(reason);
    }
  }

  /** Stops leading and tells the store, so that another VM can take over at once. */
  void resign(String reason) {
    end(reason);
    byte[] value = RecordCodec.serializeLeader(leader, true, earlierGrants.leftMs(clock.nowMs()));
    RowWrite record =
        RowWrite.put(
            SystemTables.LEADER, SystemTables.LEADER_KEY, leader.rowVersion().number(), value);
    store
        .write(List.of(record), leader.rowVersion().era(), TablePoller.TIMEOUT_MS)
        .whenCompleteAsync(
            (version, failure) -> {
              if (failure != null) { // the record then shows no renewals, which takes longer
                logger
                    .atInfo()
                    .with(EventFields.FENCE, leader.term())
                    .with(EventFields.REASON, String.valueOf(failure))
                    .log("resignation not written");
              }
            },
            loop);
  }

  @Override
  public void onWritten(String service, byte[] value, StoreVersion version) {
    Row row = new Row(service, value, version, false);
    listener.onOwnersWritten(service, new RowPage(List.of(row), version, false));
  }

  @Override
  public void onReleases(String service, List<RangeAssignment> ranges) {
    listener.onReleases(service, ranges);
  }

  @Override
  public void onGrantsDue() {
    if (!tickScheduled) {
      tickScheduled = true;
      loop.execute(
          () -> {
            tickScheduled = false;
            if (!ended) {
              tick();
            }
          });
    }
  }

  @Override
  public void onConflict(String service) {
    end("owners of " + service + " were written by another VM");
  }

  /** Applies the outcome of keeping the leadership in a new era of the store. */
  private final class KeptLeadership implements LeadershipKeeper.Listener {

    @Override
    public void onKept(KnownLeader kept, Map<String, Long> mapVersions, ClockReading sent) {
      if (ended) {
        return;
      }
      leader = kept;
      earlierGrants = EarlierGrants.afterTakeover(clock.nowMs());
      confirm(sent);
      nextRenewalMs = sent.steadyMs() + LeadershipTiming.RENEW_INTERVAL_MS;
      executors.forEach(
          (service, executor) -> executor.onStoreRestored(mapVersions.getOrDefault(service, 0L)));
      listener.onLeadershipKept(kept);
    }

    @Override
    public void onTaken() {
      end("another VM acquired leadership after the store was restored");
    }
  }

  /** Returns the time since the store last confirmed the leadership, in milliseconds. */
  long confirmedAgeMs() {
    return lastConfirmed.ageMs(clocks.read());
  }
}
