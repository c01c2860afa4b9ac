package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.store.EraChangedException;
import org.foxtailford.core.store.HistoryLostException;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Updates the copy of one table from the store at each call of a poll method that is due. Confined
 * to the event loop.
 */
final class TablePoller {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Timeout of a call, without the time for which the store may wait, in milliseconds. */
  static final long TIMEOUT_MS = 900;

  /**
   * Delay after a first failed call, in milliseconds; it doubles up to {@link #MAX_RETRY_DELAY_MS}.
   */
  private static final long INITIAL_RETRY_DELAY_MS = 150;

  private static final long MAX_RETRY_DELAY_MS = 600;

  private final String table;
  private final long intervalMs;
  private final long waitMs;
  private final RowStore store;
  private final EntryRoutingState state;
  private final MillisClock clock;
  private final Executor loop;
  private final LongConsumer onSuccess;
  private boolean callInFlight;
  private boolean fullReadRequired;
  private long nextCallMs;
  private long sentMs = Long.MIN_VALUE / 2;
  private long retryDelayMs = INITIAL_RETRY_DELAY_MS;

  /**
   * Creates a poller.
   *
   * @param intervalMs delay between the end of a call and the next call, in milliseconds
   * @param waitMs time for which the store may wait for a change, in milliseconds; 0 for a plain
   *     read
   * @param onSuccess receives the time as of which the copy is up to date: when the call was sent,
   *     or when it was answered if the store may wait
   */
  TablePoller(
      String table,
      long intervalMs,
      long waitMs,
      RowStore store,
      EntryRoutingState state,
      MillisClock clock,
      Executor loop,
      LongConsumer onSuccess) {
    this.table = Assert.hasLength(table, "table");
    this.intervalMs = intervalMs;
    this.waitMs = waitMs;
    this.store = Assert.notNull(store, "store");
    this.state = Assert.notNull(state, "state");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.onSuccess = Assert.notNull(onSuccess, "onSuccess");
  }

  /**
   * Calls the store if a call is due and the last one was sent at least {@code minIntervalMs}
   * milliseconds ago.
   */
  void pollEvery(long minIntervalMs) {
    if (clock.nowMs() >= sentMs + minIntervalMs) {
      poll();
    }
  }

  /** Calls the store if a call is due and none is in flight. */
  void poll() {
    long nowMs = clock.nowMs();
    if (callInFlight || nowMs < nextCallMs) {
      return;
    }
    callInFlight = true;
    sentMs = nowMs;
    StoreVersion version = state.mirror(table).version();
    boolean outdated = version.number() == 0 || version.era() != store.era();
    CompletableFuture<RowPage> page =
        outdated || fullReadRequired
            ? store.readAll(table, TIMEOUT_MS)
            : store.readChanges(table, version, waitMs, waitMs + TIMEOUT_MS);
    page.whenCompleteAsync((result, failure) -> onPage(result, failure, nowMs), loop);
  }

  private void onPage(RowPage page, Throwable failure, long sentMs) {
    callInFlight = false;
    long nowMs = clock.nowMs();
    if (failure == null) {
      fullReadRequired = false;
      retryDelayMs = INITIAL_RETRY_DELAY_MS;
      nextCallMs = nowMs + intervalMs;
      state.apply(table, page);
      state.ages().record(table, sentMs);
      onSuccess.accept(waitMs == 0 ? sentMs : nowMs);
      return;
    }
    if (isCausedBy(failure, HistoryLostException.class)
        || isCausedBy(failure, EraChangedException.class)) {
      fullReadRequired = true;
      nextCallMs = nowMs;
      logger
          .atInfo()
          .with(EventFields.TABLE, table)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("history lost, table is read again");
      return;
    }
    nextCallMs = nowMs + retryDelayMs;
    retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
    logger
        .atInfo()
        .atMostEvery(1, TimeUnit.SECONDS)
        .with(EventFields.TABLE, table)
        .with(EventFields.REASON, String.valueOf(failure))
        .with(EventFields.TOOK_MS, nowMs - sentMs)
        .with(EventFields.AGE_MS, state.ages().ageMs(table, nowMs).orElse(-1))
        .log("store call failed");
  }

  private static boolean isCausedBy(Throwable failure, Class<? extends Throwable> type) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (type.isInstance(cause)) {
        return true;
      }
    }
    return false;
  }
}
