package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.OrderOutcome;
import org.foxtailford.core.range.RangeAssignment;
import org.foxtailford.core.range.RangeKeeper;
import org.foxtailford.core.range.RangeOrder;
import org.foxtailford.core.range.RangeOwner;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.range.UpstreamOrders;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/** Carries out the orders of one service's keeper. Used on the event loop only. */
final class RangeExecutor {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final long WRITE_RETRY_MS = 250;

  /** Told what becomes of the map. */
  interface MapListener {

    /** The map was written. */
    void onWritten(String service, byte[] value, long version);

    /** The store holds another map, or another leader: this VM leads no longer. */
    void onConflict(String service);
  }

  private final String service;
  private final RangeKeeper keeper;
  private final RangeTiming timing;
  private final UpstreamOrders upstreams;
  private final Function<RangeOwner, Optional<UpstreamAddress>> addresses;
  private final RowStore store;
  private final long leaderRowVersion;
  private final MapListener listener;
  private final MillisClock clock;
  private final Executor loop;
  private Optional<RangeOrder.Write> unwritten = Optional.empty();
  private boolean writing;
  private long nextWriteMs;
  private boolean stopped;

  RangeExecutor(
      String service,
      RangeKeeper keeper,
      RangeTiming timing,
      UpstreamOrders upstreams,
      Function<RangeOwner, Optional<UpstreamAddress>> addresses,
      RowStore store,
      long leaderRowVersion,
      MapListener listener,
      MillisClock clock,
      Executor loop) {
    this.service = Assert.hasLength(service, "service");
    this.keeper = keeper;
    this.timing = timing;
    this.upstreams = upstreams;
    this.addresses = addresses;
    this.store = store;
    this.leaderRowVersion = leaderRowVersion;
    this.listener = listener;
    this.clock = clock;
    this.loop = loop;
  }

  RangeKeeper keeper() {
    return keeper;
  }

  void stop() {
    stopped = true;
  }

  void execute(List<RangeOrder> orders) {
    for (RangeOrder order : orders) {
      if (order instanceof RangeOrder.Grant) {
        grant((RangeOrder.Grant) order);
      } else if (order instanceof RangeOrder.Release) {
        release((RangeOrder.Release) order);
      } else {
        unwritten = Optional.of((RangeOrder.Write) order);
      }
    }
    writeAsNeeded();
  }

  private void grant(RangeOrder.Grant order) {
    RangeAssignment assignment = order.assignment();
    Optional<UpstreamAddress> address = addresses.apply(assignment.owner());
    if (address.isEmpty()) {
      keeper.onGrant(order, OrderOutcome.UNREACHED, OptionalLong.empty(), clock.nowMs());
      return;
    }
    upstreams
        .grant(
            assignment.owner().upstream(),
            address.get(),
            assignment.range(),
            assignment.fence(),
            timing.holdMs(),
            order.handover(),
            order.session(),
            timing.callMs())
        .thenAcceptAsync(granted -> onGrant(order, granted), loop);
  }

  private void onGrant(RangeOrder.Grant order, UpstreamOrders.Granted granted) {
    if (order.session().isEmpty() || granted.outcome() != OrderOutcome.DONE) {
      log(order.assignment(), "keys granted", granted.outcome());
    }
    if (!stopped) {
      keeper.onGrant(order, granted.outcome(), granted.session(), clock.nowMs());
    }
  }

  private void release(RangeOrder.Release order) {
    RangeAssignment assignment = order.assignment();
    Optional<UpstreamAddress> address = addresses.apply(assignment.owner());
    if (address.isEmpty()) {
      keeper.onRelease(order, OrderOutcome.UNKNOWN, Optional.empty(), clock.nowMs());
      return;
    }
    upstreams
        .release(
            assignment.owner().upstream(),
            address.get(),
            assignment.range(),
            assignment.fence(),
            timing.releaseMs())
        .thenAcceptAsync(released -> onRelease(order, released), loop);
  }

  private void onRelease(RangeOrder.Release order, UpstreamOrders.Released released) {
    log(order.assignment(), "keys released", released.outcome());
    if (!stopped) {
      keeper.onRelease(order, released.outcome(), released.handover(), clock.nowMs());
    }
  }

  private void log(RangeAssignment assignment, String event, OrderOutcome outcome) {
    logger
        .atInfo()
        .with(EventFields.SERVICE, service)
        .with(EventFields.UPSTREAM, assignment.owner().upstream())
        .with(EventFields.KEYS, assignment.range().first() + "-" + assignment.range().last())
        .with(EventFields.FENCE, assignment.fence())
        .with(EventFields.REASON, outcome.name())
        .log("%s", event);
  }

  private void writeAsNeeded() {
    long nowMs = clock.nowMs();
    if (unwritten.isEmpty() || writing || nowMs < nextWriteMs) {
      return;
    }
    writing = true;
    RangeOrder.Write order = unwritten.get();
    byte[] value = RecordCodec.ranges(service, order.assignments());
    List<RowWrite> rows =
        List.of(
            RowWrite.expect(SystemTables.LEADER, SystemTables.LEADER_KEY, leaderRowVersion),
            RowWrite.put(SystemTables.RANGES, service, order.expectedVersion(), value));
    store
        .write(rows, TablePoller.CALL_MS)
        .whenCompleteAsync((version, failure) -> onWrite(order, value, version, failure), loop);
  }

  private void onWrite(
      RangeOrder.Write order, byte[] value, OptionalLong version, Throwable failure) {
    writing = false;
    if (stopped) {
      return;
    }
    if (failure != null) {
      nextWriteMs = clock.nowMs() + WRITE_RETRY_MS;
      logger
          .atInfo()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.SERVICE, service)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("owners not written yet");
    } else if (version.isPresent()) {
      onWritten(order, value, version.getAsLong());
    } else {
      compareStored(order, value);
    }
  }

  private void onWritten(RangeOrder.Write order, byte[] value, long version) {
    unwritten = Optional.empty();
    listener.onWritten(service, value, version);
    keeper.onWritten(order, version, clock.nowMs());
  }

  /** Finds out whether an earlier send of the same write was carried out without an answer. */
  private void compareStored(RangeOrder.Write order, byte[] value) {
    writing = true;
    store
        .readAll(SystemTables.RANGES, TablePoller.CALL_MS)
        .whenCompleteAsync((page, failure) -> onStored(order, value, page, failure), loop);
  }

  private void onStored(RangeOrder.Write order, byte[] value, RowPage page, Throwable failure) {
    writing = false;
    nextWriteMs = clock.nowMs() + WRITE_RETRY_MS;
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
            row -> onWritten(order, value, row.version()), () -> listener.onConflict(service));
  }
}
