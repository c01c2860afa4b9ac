package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.Executor;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.range.RangeCandidate;
import org.foxtailford.core.range.RangeCommandClient;
import org.foxtailford.core.range.RangeController;
import org.foxtailford.core.range.RangeOwner;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.RenewalRecord;

/**
 * Performs the leader's tasks during one term: renews the leadership, grants keys, and writes their
 * owners to the store. Confined to the event loop.
 */
final class LeaderTasks implements RangeExecutor.MapListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Number of fences reserved for each term; no leader issues as many. */
  private static final long FENCES_PER_TERM = 1_000_000;

  /** Receives the results of the leader's tasks. */
  interface Listener {

    /** Called after the range map of a service was written. */
    void onOwnersWritten(String service, RowPage page);

    /** Called once, after this VM has stopped leading. */
    void onLeadershipLost(String reason);
  }

  private final KnownLeader leader;
  private final RowStore store;
  private final RangeCommandClient commandClient;
  private final EntryRoutingState state;
  private final KeyLoads loads;
  private final RangeTiming timing;
  private final Listener listener;
  private final MillisClock clock;
  private final Executor loop;
  private final long earlierGrantsExpiryMs;
  private final Map<String, RangeExecutor> executors = new HashMap<>();
  private final Map<RangeOwner, UpstreamAddress> addresses = new HashMap<>();
  private long fenceCount;
  private long renewalCount;
  private long lastConfirmedMs;
  private long nextRenewalMs;
  private boolean renewalInFlight;
  private boolean grantsAllowed = true;
  private boolean ended;

  LeaderTasks(
      KnownLeader leader,
      RowStore store,
      RangeCommandClient commandClient,
      EntryRoutingState state,
      KeyLoads loads,
      RangeTiming timing,
      Listener listener,
      MillisClock clock,
      Executor loop,
      long earlierGrantsExpiryMs) {
    this.leader = leader;
    this.store = store;
    this.commandClient = commandClient;
    this.state = state;
    this.loads = loads;
    this.timing = timing;
    this.listener = Assert.notNull(listener, "listener");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.earlierGrantsExpiryMs = earlierGrantsExpiryMs;
    this.lastConfirmedMs = clock.nowMs();
    this.nextRenewalMs = lastConfirmedMs;
  }

  KnownLeader leader() {
    return leader;
  }

  /** Performs the tasks that are due. */
  void tick() {
    long nowMs = clock.nowMs();
    renewAsNeeded(nowMs);
    boolean mayGrant = nowMs - lastConfirmedMs < LeadershipTiming.GRANT_RENEWAL_WINDOW_MS;
    if (mayGrant != grantsAllowed) {
      grantsAllowed = mayGrant;
      logger
          .atInfo()
          .with(EventFields.FENCE, leader.term())
          .with(EventFields.AGE_MS, nowMs - lastConfirmedMs)
          .log(mayGrant ? "grants resumed" : "grants paused until leadership is confirmed");
    }
    Optional<RoutingConfiguration> configuration = state.configuration();
    if (!mayGrant || configuration.isEmpty() || ended) {
      return;
    }
    boolean mayMove = nowMs - lastConfirmedMs < LeadershipTiming.MOVE_WINDOW_MS;
    Set<String> keyed = new HashSet<>();
    for (ServicePolicy service : configuration.get().services()) {
      if (service.keyed()) {
        keyed.add(service.name());
        RangeExecutor executor = executors.computeIfAbsent(service.name(), this::newExecutor);
        executor.execute(
            executor.controller().nextCommands(candidates(service.name()), mayMove, nowMs));
      }
    }
    executors.keySet().retainAll(keyed);
  }

  private RangeExecutor newExecutor(String service) {
    RangeController controller =
        new RangeController(
            timing,
            () -> leader.term() * FENCES_PER_TERM + ++fenceCount,
            loads.historyOf(service),
            state.owners(service),
            earlierGrantsExpiryMs);
    return new RangeExecutor(
        service,
        controller,
        timing,
        commandClient,
        owner -> Optional.ofNullable(addresses.get(owner)),
        store,
        leader.rowVersion(),
        this,
        clock,
        loop);
  }

  private List<RangeCandidate> candidates(String service) {
    List<RangeCandidate> candidates = new ArrayList<>();
    for (UpstreamEntry entry : state.upstreams().usable(service)) {
      RangeOwner owner = new RangeOwner(entry.id(), entry.bornMs());
      addresses.put(owner, entry.address());
      boolean cold = state.upstreams().isCold(entry.id(), clock.nowMs());
      double capacity = entry.slots() * loads.speed(entry);
      candidates.add(new RangeCandidate(owner, capacity, cold));
    }
    return candidates;
  }

  private void renewAsNeeded(long nowMs) {
    if (renewalInFlight || nowMs < nextRenewalMs || ended) {
      return;
    }
    renewalInFlight = true;
    byte[] value =
        RenewalRecord.newBuilder()
            .setTerm(leader.term())
            .setCount(++renewalCount)
            .build()
            .toByteArray();
    List<RowWrite> rows =
        List.of(
            RowWrite.expect(SystemTables.LEADER, SystemTables.LEADER_KEY, leader.rowVersion()),
            RowWrite.put(SystemTables.LEADER, SystemTables.RENEWAL_KEY, -1, value));
    store
        .write(rows, TablePoller.TIMEOUT_MS)
        .whenCompleteAsync((version, failure) -> onRenewed(version, failure, nowMs), loop);
  }

  private void onRenewed(OptionalLong version, Throwable failure, long sentMs) {
    renewalInFlight = false;
    long nowMs = clock.nowMs();
    if (failure != null) {
      nextRenewalMs = nowMs + LeadershipTiming.RETRY_INTERVAL_MS;
      logger
          .atInfo()
          .with(EventFields.FENCE, leader.term())
          .with(EventFields.AGE_MS, nowMs - lastConfirmedMs)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leadership not renewed");
    } else if (version.isEmpty()) {
      end("another VM acquired leadership");
    } else {
      lastConfirmedMs = sentMs;
      nextRenewalMs = sentMs + LeadershipTiming.RENEW_INTERVAL_MS;
    }
  }

  /** Suspends grants after a pause of the process, until the store confirms the leadership. */
  void onPause() {
    lastConfirmedMs = Long.MIN_VALUE / 2;
    nextRenewalMs = clock.nowMs();
  }

  /** Stops leading; no keys are granted from then on. */
  void end(String reason) {
    if (!ended) {
      ended = true;
      executors.values().forEach(RangeExecutor::stop);
      listener.onLeadershipLost(reason);
    }
  }

  @Override
  public void onWritten(String service, byte[] value, long version) {
    Row row = new Row(service, value, version, false);
    listener.onOwnersWritten(service, new RowPage(List.of(row), version, false));
  }

  @Override
  public void onConflict(String service) {
    end("owners of " + service + " were written by another VM");
  }

  /** Returns the time since the store last confirmed the leadership, in milliseconds. */
  long confirmedAgeMs() {
    return clock.nowMs() - lastConfirmedMs;
  }
}
