package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.CommandOutcome;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeCommand;
import org.foxtailford.core.range.RangeCommandClient;
import org.foxtailford.core.range.RangeController;
import org.foxtailford.core.range.RangeOwner;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * Executes the commands of one service's {@link RangeController} and reports the results to it.
 * Confined to the event loop.
 */
final class RangeExecutor {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long WRITE_RETRY_INTERVAL_MS = 250;

  /**
   * Maximum time for which a written map is announced only when its new owners have confirmed their
   * grants, in milliseconds; some round trips between data centres. Requests that follow the map
   * earlier are rejected by owners that don't hold the keys yet.
   */
  private static final long MAX_ANNOUNCEMENT_DELAY_MS = 100;

  /** Receives what concerns all entry VMs: moves, new owners, and the end of the leadership. */
  interface Listener {

    /** Called after the map was written and its owners hold their keys, or might do so soon. */
    void onWritten(String service, byte[] value, StoreVersion version);

    /** Called when keys are about to be taken away from their owners. */
    void onReleases(String service, List<RangeAssignment> ranges);

    /** Called when grants are due, because a map with new owners was written. */
    void onGrantsDue();

    /**
     * Called if the store holds another map or another leader, so that this VM must stop leading.
     */
    void onConflict(String service);
  }

  private final String service;
  private final RangeController controller;
  private final RangeTiming timing;
  private final RangeCommandClient commandClient;
  private final Function<RangeOwner, Optional<UpstreamAddress>> addressLookup;
  private final RowStore store;
  private final Supplier<StoreVersion> leaderRowVersion;
  private final Listener listener;
  private final MillisClock clock;
  private final Executor loop;
  private Optional<RangeCommand.Write> pendingWrite = Optional.empty();
  private Optional<Announcement> announcement = Optional.empty();
  private int firstGrantsInFlight;
  private boolean writeInFlight;
  private long nextWriteMs;
  private boolean stopped;
  private long lastPlannedMs;

  /**
   * Written map that was not announced yet.
   *
   * @param dueMs when it is announced at the latest, in milliseconds
   */
  @SuppressWarnings("ArrayRecordComponent")
  private record Announcement(byte[] value, StoreVersion version, long dueMs) {}

  RangeExecutor(
      String service,
      RangeController controller,
      RangeTiming timing,
      RangeCommandClient commandClient,
      Function<RangeOwner, Optional<UpstreamAddress>> addressLookup,
      RowStore store,
      Supplier<StoreVersion> leaderRowVersion,
      Listener listener,
      MillisClock clock,
      Executor loop) {
    this.service = Assert.hasLength(service, "service");
    this.controller = controller;
    this.timing = timing;
    this.commandClient = commandClient;
    this.addressLookup = addressLookup;
    this.store = store;
    this.leaderRowVersion = leaderRowVersion;
    this.listener = listener;
    this.clock = clock;
    this.loop = loop;
  }

  RangeController controller() {
    return controller;
  }

  void stop() {
    stopped = true;
  }

  /** Returns whether a grant that this executor has sent may be in force. */
  boolean mayHaveGrantsInForce(long nowMs) {
    return nowMs < timing.latestExpiryMs(lastPlannedMs + timing.callTimeoutMs());
  }

  /**
   * Continues after the store was restored from an older copy.
   *
   * @param restoredVersion number of the version of the service's map in the restored store; 0 if
   *     there is none
   */
  void onStoreRestored(long restoredVersion) {
    pendingWrite = pendingWrite.map(write -> write.afterRestore(restoredVersion));
    nextWriteMs = clock.nowMs();
    controller.onStoreRestored(restoredVersion, clock.nowMs());
  }

  /**
   * Executes commands.
   *
   * @param plannedMs time as of which they were planned, in milliseconds; the expiry of a grant is
   *     reckoned from it, so that a grant is not sent later than its timeout after it
   */
  void execute(List<RangeCommand> commands, long plannedMs) {
    lastPlannedMs = plannedMs;
    List<RangeAssignment> releases = new ArrayList<>();
    for (RangeCommand command : commands) {
      if (command instanceof RangeCommand.Release) {
        releases.add(((RangeCommand.Release) command).assignment());
      }
    }
    if (!releases.isEmpty()) {
      listener.onReleases(service, releases); // before the owners reject requests for these keys
    }
    for (RangeCommand command : commands) {
      if (command instanceof RangeCommand.Grant) {
        grant((RangeCommand.Grant) command, plannedMs);
      } else if (command instanceof RangeCommand.Release) {
        release((RangeCommand.Release) command);
      } else {
        pendingWrite = Optional.of((RangeCommand.Write) command);
      }
    }
    writeAsNeeded();
    announceAsNeeded();
  }

  /** Announces a written map once its owners hold their keys, or after a bounded delay. */
  private void announceAsNeeded() {
    boolean due =
        announcement
            .filter(map -> firstGrantsInFlight == 0 || clock.nowMs() >= map.dueMs())
            .isPresent();
    if (due && !stopped) {
      Announcement map = announcement.get();
      announcement = Optional.empty();
      listener.onWritten(service, map.value(), map.version());
    }
  }

  private void grant(RangeCommand.Grant command, long plannedMs) {
    RangeAssignment assignment = command.assignment();
    Optional<UpstreamAddress> address = addressLookup.apply(assignment.owner());
    long leftMs = plannedMs + timing.callTimeoutMs() - clock.nowMs();
    if (leftMs <= 0) {
      controller.onGrant(command, CommandOutcome.NOT_SENT, OptionalLong.empty(), clock.nowMs());
      return;
    }
    if (address.isEmpty()) {
      controller.onGrant(command, CommandOutcome.UNREACHED, OptionalLong.empty(), clock.nowMs());
      return;
    }
    firstGrantsInFlight += command.session().isEmpty() ? 1 : 0;
    commandClient
        .grant(
            assignment.owner().upstream(),
            address.get(),
            assignment.range(),
            assignment.fence(),
            timing.grantTtlMs(),
            command.handover(),
            command.session(),
            leftMs)
        .thenAcceptAsync(result -> onGrant(command, result), loop);
  }

  private void onGrant(RangeCommand.Grant command, RangeCommandClient.GrantResult result) {
    firstGrantsInFlight -= command.session().isEmpty() ? 1 : 0;
    if (command.session().isEmpty() || result.outcome() != CommandOutcome.DONE) {
      log(command.assignment(), "keys granted", result.outcome().name());
    }
    if (!stopped) {
      controller.onGrant(command, result.outcome(), result.session(), clock.nowMs());
      if (controller.isSuperseded()) {
        listener.onConflict(service);
      }
      announceAsNeeded();
    }
  }

  private void release(RangeCommand.Release command) {
    RangeAssignment assignment = command.assignment();
    log(assignment, "release of keys sent", "");
    Optional<UpstreamAddress> address = addressLookup.apply(assignment.owner());
    if (address.isEmpty()) {
      controller.onRelease(command, CommandOutcome.UNKNOWN, Optional.empty(), clock.nowMs());
      return;
    }
    commandClient
        .release(
            assignment.owner().upstream(),
            address.get(),
            assignment.range(),
            assignment.fence(),
            timing.releaseTimeoutMs())
        .thenAcceptAsync(result -> onRelease(command, result), loop);
  }

  private void onRelease(RangeCommand.Release command, RangeCommandClient.ReleaseResult result) {
    boolean counted =
        !stopped
            && controller.onRelease(command, result.outcome(), result.handover(), clock.nowMs());
    String outcome = result.outcome().name();
    log(command.assignment(), "keys released", counted ? outcome : outcome + ", too late");
  }

  private void log(RangeAssignment assignment, String event, String reason) {
    logger
        .atInfo()
        .with(EventFields.SERVICE, service)
        .with(EventFields.UPSTREAM, assignment.owner().upstream())
        .with(EventFields.KEYS, assignment.range().first() + "-" + assignment.range().last())
        .with(EventFields.FENCE, assignment.fence())
        .with(EventFields.REASON, reason)
        .log("%s", event);
  }

  private void writeAsNeeded() {
    long nowMs = clock.nowMs();
    if (pendingWrite.isEmpty() || writeInFlight || nowMs < nextWriteMs) {
      return;
    }
    writeInFlight = true;
    RangeCommand.Write command = pendingWrite.get();
    StoreVersion leaderRow = leaderRowVersion.get();
    long era = command.complete() ? leaderRow.era() : 0;
    byte[] value = RecordCodec.serializeRanges(service, era, command.assignments());
    List<RowWrite> rows =
        List.of(
            RowWrite.expect(SystemTables.LEADER, SystemTables.LEADER_KEY, leaderRow.number()),
            RowWrite.put(SystemTables.RANGES, service, command.expectedVersion(), value));
    store
        .write(rows, leaderRow.era(), TablePoller.TIMEOUT_MS)
        .whenCompleteAsync((version, failure) -> onWrite(command, value, version, failure), loop);
  }

  private void onWrite(
      RangeCommand.Write command, byte[] value, Optional<StoreVersion> version, Throwable failure) {
    writeInFlight = false;
    if (stopped) {
      return;
    }
    if (failure != null) {
      nextWriteMs = clock.nowMs() + WRITE_RETRY_INTERVAL_MS;
      logger
          .atInfo()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.SERVICE, service)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("owners not written yet");
    } else if (version.isPresent()) {
      onWritten(command, value, version.get());
    } else {
      compareWithStored(command, value);
    }
  }

  private void onWritten(RangeCommand.Write command, byte[] value, StoreVersion version) {
    pendingWrite = Optional.empty();
    long nowMs = clock.nowMs();
    controller.onWritten(command, version.number(), nowMs);
    announcement = Optional.of(new Announcement(value, version, nowMs + MAX_ANNOUNCEMENT_DELAY_MS));
    listener.onGrantsDue();
  }

  /**
   * Compares the stored map with the written one: a conflict may come from an earlier attempt of
   * the same write, which succeeded though its answer was lost.
   */
  private void compareWithStored(RangeCommand.Write command, byte[] value) {
    writeInFlight = true;
    store
        .readAll(SystemTables.RANGES, TablePoller.TIMEOUT_MS)
        .whenCompleteAsync((page, failure) -> onStored(command, value, page, failure), loop);
  }

  private void onStored(RangeCommand.Write command, byte[] value, RowPage page, Throwable failure) {
    writeInFlight = false;
    nextWriteMs = clock.nowMs() + WRITE_RETRY_INTERVAL_MS;
    if (failure != null || stopped) {
      logger
          .atInfo()
          .with(EventFields.SERVICE, service)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("stored owners not compared");
      return;
    }
    page.rows().stream()
        .filter(row -> row.key().equals(service) && Arrays.equals(row.value(), value))
        .findFirst()
        .ifPresentOrElse(
            row -> onWritten(command, value, row.version()), () -> listener.onConflict(service));
  }
}
