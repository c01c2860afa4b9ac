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
 * The leader's work on this VM while it leads: renewing its seat, granting keys, and writing who
 * owns them. Used on the event loop only.
 */
final class LeaderDuty implements RangeExecutor.MapListener {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Fences of one term; no leader gives as many. */
  private static final long FENCES_OF_TERM = 1_000_000;

  /** Told of what the leader does. */
  interface Listener {

    /** The map of a service was written. */
    void onOwners(String service, RowPage page);

    /** This VM leads no longer. */
    void onSeatLost(String reason);
  }

  private final LeaderSeat seat;
  private final RowStore store;
  private final RangeCommandClient commandClient;
  private final EntryRoutingState knowledge;
  private final KeyLoads loads;
  private final RangeTiming timing;
  private final Listener listener;
  private final MillisClock clock;
  private final Executor loop;
  private final long othersHoldUntilMs;
  private final Map<String, RangeExecutor> executors = new HashMap<>();
  private final Map<RangeOwner, UpstreamAddress> addresses = new HashMap<>();
  private long fenceCount;
  private long renewals;
  private long confirmedMs;
  private long nextRenewalMs;
  private boolean renewing;
  private boolean granting = true;
  private boolean over;

  LeaderDuty(
      LeaderSeat seat,
      RowStore store,
      RangeCommandClient commandClient,
      EntryRoutingState knowledge,
      KeyLoads loads,
      RangeTiming timing,
      Listener listener,
      MillisClock clock,
      Executor loop,
      long othersHoldUntilMs) {
    this.seat = seat;
    this.store = store;
    this.commandClient = commandClient;
    this.knowledge = knowledge;
    this.loads = loads;
    this.timing = timing;
    this.listener = Assert.notNull(listener, "listener");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.othersHoldUntilMs = othersHoldUntilMs;
    this.confirmedMs = clock.nowMs();
    this.nextRenewalMs = confirmedMs;
  }

  LeaderSeat seat() {
    return seat;
  }

  /** Does what is due. */
  void tick() {
    long nowMs = clock.nowMs();
    renewAsNeeded(nowMs);
    boolean mayGrant = nowMs - confirmedMs < LeadershipTiming.GRANT_RENEWAL_WINDOW_MS;
    if (mayGrant != granting) {
      granting = mayGrant;
      logger
          .atInfo()
          .with(EventFields.FENCE, seat.term())
          .with(EventFields.AGE_MS, nowMs - confirmedMs)
          .log(mayGrant ? "leader grants again" : "leader grants no more until it is confirmed");
    }
    Optional<RoutingConfiguration> configuration = knowledge.configuration();
    if (!mayGrant || configuration.isEmpty() || over) {
      return;
    }
    boolean mayMove = nowMs - confirmedMs < LeadershipTiming.MOVE_WINDOW_MS;
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
            () -> seat.term() * FENCES_OF_TERM + ++fenceCount,
            loads.of(service),
            knowledge.owners(service),
            othersHoldUntilMs);
    return new RangeExecutor(
        service,
        controller,
        timing,
        commandClient,
        owner -> Optional.ofNullable(addresses.get(owner)),
        store,
        seat.rowVersion(),
        this,
        clock,
        loop);
  }

  private List<RangeCandidate> candidates(String service) {
    List<RangeCandidate> candidates = new ArrayList<>();
    for (UpstreamEntry entry : knowledge.upstreams().usable(service)) {
      RangeOwner owner = new RangeOwner(entry.id(), entry.bornMs());
      addresses.put(owner, entry.address());
      boolean cold = knowledge.upstreams().isCold(entry.id(), clock.nowMs());
      double capacity = entry.slots() * loads.speed(entry);
      candidates.add(new RangeCandidate(owner, capacity, cold));
    }
    return candidates;
  }

  private void renewAsNeeded(long nowMs) {
    if (renewing || nowMs < nextRenewalMs || over) {
      return;
    }
    renewing = true;
    byte[] value =
        RenewalRecord.newBuilder().setTerm(seat.term()).setCount(++renewals).build().toByteArray();
    List<RowWrite> rows =
        List.of(
            RowWrite.expect(SystemTables.LEADER, SystemTables.LEADER_KEY, seat.rowVersion()),
            RowWrite.put(SystemTables.LEADER, SystemTables.RENEWAL_KEY, -1, value));
    store
        .write(rows, TablePoller.CALL_MS)
        .whenCompleteAsync((version, failure) -> onRenewed(version, failure, nowMs), loop);
  }

  private void onRenewed(OptionalLong version, Throwable failure, long sentMs) {
    renewing = false;
    long nowMs = clock.nowMs();
    if (failure != null) {
      nextRenewalMs = nowMs + LeadershipTiming.RETRY_INTERVAL_MS;
      logger
          .atInfo()
          .with(EventFields.FENCE, seat.term())
          .with(EventFields.AGE_MS, nowMs - confirmedMs)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leader's seat not renewed");
    } else if (version.isEmpty()) {
      end("another took the seat");
    } else {
      confirmedMs = sentMs;
      nextRenewalMs = sentMs + LeadershipTiming.RENEW_INTERVAL_MS;
    }
  }

  /** Distrusts the seat until it is confirmed again, after this process stood still. */
  void onPause() {
    confirmedMs = Long.MIN_VALUE / 2;
    nextRenewalMs = clock.nowMs();
  }

  /** Ends the duty; nothing is granted any more. */
  void end(String reason) {
    if (!over) {
      over = true;
      executors.values().forEach(RangeExecutor::stop);
      listener.onSeatLost(reason);
    }
  }

  @Override
  public void onWritten(String service, byte[] value, long version) {
    Row row = new Row(service, value, version, false);
    listener.onOwners(service, new RowPage(List.of(row), version, false));
  }

  @Override
  public void onConflict(String service) {
    end("the owners of " + service + " were written by another");
  }

  /** Returns how long ago the store confirmed the seat, in milliseconds. */
  long confirmedAgeMs() {
    return clock.nowMs() - confirmedMs;
  }
}
