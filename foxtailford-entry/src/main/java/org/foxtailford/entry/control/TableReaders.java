package org.foxtailford.entry.control;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.store.CopyAges;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Decides which of the store's tables this VM reads itself. The leader reads for all VMs; another
 * VM reads a table whose copy is older than it can be while the leader reads it in time. Confined
 * to the event loop.
 */
final class TableReaders {

  private final EntryRoutingState state;
  private final CopyAges ages;
  private final MillisClock clock;
  private final String upstreamTable;
  private final String operatorTable;
  private final TablePoller upstreams;
  private final TablePoller operators;
  private final TablePoller owners;
  private final TablePoller members;
  private final TablePoller losses;
  private OptionalLong lastSuccessMs = OptionalLong.empty();

  /**
   * Creates the readers.
   *
   * @param onUpstreamsRead called after the upstreams' registrations were read
   */
  TableReaders(
      PlatformRows platform,
      RowStore store,
      EntryRoutingState state,
      MillisClock clock,
      Executor loop,
      Runnable onUpstreamsRead) {
    this.state = Assert.notNull(state, "state");
    this.ages = state.ages();
    this.clock = Assert.notNull(clock, "clock");
    this.upstreamTable = platform.upstreamTable();
    this.operatorTable = platform.operatorTable();
    LongConsumer onRead = this::recordSuccess;
    upstreams =
        new TablePoller(
            upstreamTable,
            ControlTiming.UPSTREAM_POLL_MS,
            0,
            store,
            state,
            clock,
            loop,
            asOfMs -> {
              onRead.accept(asOfMs);
              onUpstreamsRead.run();
            });
    operators =
        new TablePoller(
            operatorTable, 0, ControlTiming.OPERATOR_WAIT_MS, store, state, clock, loop, onRead);
    owners = systemPoller(SystemTables.RANGES, ControlTiming.SYSTEM_POLL_MS, store, loop, onRead);
    members =
        systemPoller(SystemTables.MEMBERS, 2 * ControlTiming.SYSTEM_POLL_MS, store, loop, onRead);
    losses =
        new TablePoller(
            SystemTables.LOSSES, 0, ControlTiming.LOSS_WAIT_MS, store, state, clock, loop, onRead);
  }

  private TablePoller systemPoller(
      String table, long intervalMs, RowStore store, Executor loop, LongConsumer onRead) {
    return new TablePoller(table, intervalMs, 0, store, state, clock, loop, onRead);
  }

  /** Reads what the leader reads for all VMs; it writes the owners of keys itself. */
  void readAsLeader() {
    upstreams.poll();
    operators.poll();
    losses.poll();
    members.pollEvery(ControlTiming.LEADER_MEMBER_POLL_MS);
  }

  /**
   * Reads the tables whose copies are out of date, or all if nobody seems to read for this VM.
   *
   * @param reportIntervalMs interval between this VM's reports to the leader, in milliseconds
   */
  void readOutdated(long reportIntervalMs) {
    if (isUnattended(reportIntervalMs)) {
      for (TablePoller poller : List.of(upstreams, operators, owners, members, losses)) {
        poller.poll();
      }
      return;
    }
    if (areOperatorsOutdated(reportIntervalMs)) {
      operators.poll();
    }
    long ownersAgeMs = reportIntervalMs + LeadershipTiming.ADVERTISE_WINDOW_MS;
    if (ages.isOlderThan(SystemTables.RANGES, ownersAgeMs + ControlTiming.STALENESS_MARGIN_MS)) {
      owners.poll();
    }
    long membersAgeMs = reportIntervalMs + ControlTiming.LEADER_MEMBER_POLL_MS;
    if (ages.isOlderThan(SystemTables.MEMBERS, membersAgeMs + ControlTiming.STALENESS_MARGIN_MS)) {
      members.poll();
    }
    long lossesAgeMs = reportIntervalMs + ControlTiming.LOSS_WAIT_MS;
    if (ages.isOlderThan(SystemTables.LOSSES, lossesAgeMs + ControlTiming.WAIT_MARGIN_MS)) {
      losses.poll();
    }
  }

  /** Returns whether neither the leader nor this VM has read the upstreams in time. */
  boolean isUnattended(long reportIntervalMs) {
    return ages.isOlderThan(upstreamTable, reportIntervalMs + ControlTiming.STALENESS_MARGIN_MS);
  }

  /** Returns whether what operators wrote is older than it can be while the leader reads it. */
  boolean areOperatorsOutdated(long reportIntervalMs) {
    long leaderAgeMs = ControlTiming.OPERATOR_WAIT_MS + reportIntervalMs;
    return ages.isOlderThan(operatorTable, leaderAgeMs + ControlTiming.WAIT_MARGIN_MS);
  }

  /** Reads the owners of keys at once. */
  void readOwners() {
    owners.poll();
  }

  /** Reads what operators wrote at once. */
  void readOperators() {
    operators.poll();
  }

  /**
   * Returns the time since a read of any table that succeeded was sent, in milliseconds; empty if
   * none has.
   */
  OptionalLong lastSuccessAgeMs() {
    return lastSuccessMs.isPresent()
        ? OptionalLong.of(ages.nowMs() - lastSuccessMs.getAsLong())
        : OptionalLong.empty();
  }

  private void recordSuccess(long asOfMs) {
    lastSuccessMs = OptionalLong.of(Math.max(lastSuccessMs.orElse(asOfMs), asOfMs));
  }
}
