package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.store.HistoryLostException;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Keeps the copy of one table up to date from the store while it is asked to. Used on the event
 * loop only.
 */
final class TablePoller {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest time for one call beside what the store may wait, in milliseconds. */
  static final long CALL_MS = 900;

  /** Time after a failed call, in milliseconds; it doubles up to the longest. */
  private static final long FIRST_PAUSE_MS = 150;

  private static final long LONGEST_PAUSE_MS = 600;

  private final String table;
  private final long intervalMs;
  private final long waitMs;
  private final RowStore store;
  private final EntryRoutingState knowledge;
  private final MillisClock clock;
  private final Executor loop;
  private final LongConsumer onSuccess;
  private boolean inCall;
  private boolean reread;
  private long nextMs;
  private long sentMs = Long.MIN_VALUE / 2;
  private long pauseMs = FIRST_PAUSE_MS;

  /**
   * Creates a poller.
   *
   * @param intervalMs time between two calls, in milliseconds
   * @param waitMs time for which the store may wait for a change, in milliseconds
   * @param onSuccess told when a call was sent that succeeded
   */
  TablePoller(
      String table,
      long intervalMs,
      long waitMs,
      RowStore store,
      EntryRoutingState knowledge,
      MillisClock clock,
      Executor loop,
      LongConsumer onSuccess) {
    this.table = Assert.hasLength(table, "table");
    this.intervalMs = intervalMs;
    this.waitMs = waitMs;
    this.store = Assert.notNull(store, "store");
    this.knowledge = Assert.notNull(knowledge, "knowledge");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.onSuccess = Assert.notNull(onSuccess, "onSuccess");
  }

  /** Calls the store if it is time and the last call was sent some time ago, in milliseconds. */
  void pollEvery(long leastIntervalMs) {
    if (clock.nowMs() >= sentMs + leastIntervalMs) {
      poll();
    }
  }

  /** Calls the store if it is time. */
  void poll() {
    long nowMs = clock.nowMs();
    if (inCall || nowMs < nextMs) {
      return;
    }
    inCall = true;
    sentMs = nowMs;
    long version = knowledge.mirror(table).version();
    CompletableFuture<RowPage> page =
        version == 0 || reread
            ? store.readAll(table, CALL_MS)
            : store.readChanges(table, version, waitMs, waitMs + CALL_MS);
    page.whenCompleteAsync((read, failure) -> onPage(read, failure, nowMs), loop);
  }

  private void onPage(RowPage page, Throwable failure, long sentMs) {
    inCall = false;
    long nowMs = clock.nowMs();
    if (failure == null) {
      reread = false;
      pauseMs = FIRST_PAUSE_MS;
      nextMs = nowMs + intervalMs;
      knowledge.apply(table, page);
      onSuccess.accept(waitMs == 0 ? sentMs : nowMs);
      return;
    }
    if (isHistoryLost(failure)) {
      reread = true;
      nextMs = nowMs;
      logger.atInfo().with(EventFields.TABLE, table).log("history lost, table is read again");
      return;
    }
    nextMs = nowMs + pauseMs;
    pauseMs = Math.min(2 * pauseMs, LONGEST_PAUSE_MS);
    logger
        .atInfo()
        .atMostEvery(1, TimeUnit.SECONDS)
        .with(EventFields.TABLE, table)
        .with(EventFields.REASON, String.valueOf(failure))
        .with(EventFields.TOOK_MS, nowMs - sentMs)
        .log("store call failed");
  }

  private static boolean isHistoryLost(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof HistoryLostException) {
        return true;
      }
    }
    return false;
  }
}
