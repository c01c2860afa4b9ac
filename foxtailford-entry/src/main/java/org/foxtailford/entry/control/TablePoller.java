package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.store.CopyAges;
import org.foxtailford.core.store.EraChangedException;
import org.foxtailford.core.store.HistoryLostException;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Updates the copy of one table from the store at each call of a poll method that is due. A call
 * whose answer is overdue is not waited for: a second one is sent beside it. Confined to the event
 * loop.
 */
final class TablePoller {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Timeout of a call, without the time for which the store may wait, in milliseconds. */
  static final long TIMEOUT_MS = 900;

  /**
   * Time after which an answer is overdue, without the time for which the store may wait, in
   * milliseconds; the store is rarely slower, and a call beside a slow one does no harm.
   */
  static final long OVERDUE_MS = 300;

  /**
   * Delay after a first failed call, in milliseconds; it doubles up to {@link #MAX_RETRY_DELAY_MS}.
   */
  private static final long INITIAL_RETRY_DELAY_MS = 150;

  private static final long MAX_RETRY_DELAY_MS = 600;
  private static final int MAX_CALLS_IN_FLIGHT = 2;

  private final String table;
  private final long intervalMs;
  private final long waitMs;
  private final RowStore store;
  private final EntryRoutingState state;
  private final CopyAges ages;
  private final MillisClock clock;
  private final Executor loop;
  private final LongConsumer onSuccess;
  private int callsInFlight;
  private Call latest = Call.NONE;
  private long answeredCall;
  private boolean fullReadRequired;
  private long nextCallMs;
  private long retryDelayMs = INITIAL_RETRY_DELAY_MS;

  /**
   * A call to the store.
   *
   * @param number number of the call, from 1
   * @param sentMs when it was sent, by the monotonic clock, in milliseconds
   * @param asOfMs when it was sent, by the clock of the copies' ages, in milliseconds
   * @param waitMs time for which the store may wait for a change, in milliseconds
   * @param overdueMs from when on its answer is overdue, in milliseconds
   * @param known version of the copy when it was sent
   */
  private record Call(
      long number, long sentMs, long asOfMs, long waitMs, long overdueMs, StoreVersion known) {

    private static final Call NONE =
        new Call(0, Long.MIN_VALUE / 2, Long.MIN_VALUE / 2, 0, 0, StoreVersion.NONE);
  }

  /**
   * Creates a poller.
   *
   * @param intervalMs delay between the end of a call and the next call, in milliseconds
   * @param waitMs time for which the store may wait for a change, in milliseconds; 0 for a plain
   *     read
   * @param onSuccess receives the time as of which the copy is up to date, by the clock of the
   *     copies' ages
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
    this.ages = state.ages();
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.onSuccess = Assert.notNull(onSuccess, "onSuccess");
  }

  /**
   * Calls the store if a call is due and the last one was sent at least {@code minIntervalMs}
   * milliseconds ago.
   */
  void pollEvery(long minIntervalMs) {
    if (clock.nowMs() >= latest.sentMs() + minIntervalMs) {
      poll();
    }
  }

  /** Calls the store if a call is due. */
  void poll() {
    long nowMs = clock.nowMs();
    boolean latestAnswered = answeredCall == latest.number();
    boolean overdue = !latestAnswered && nowMs >= latest.overdueMs();
    if (latestAnswered && nowMs >= nextCallMs) {
      send(isCopyCurrent() ? waitMs : 0, nowMs);
    } else if (overdue && callsInFlight < MAX_CALLS_IN_FLIGHT) {
      send(0, nowMs);
    }
  }

  /**
   * Returns whether the copy is no older than one read makes it. What has changed since is wanted
   * at once, and an answer that is lost must be missed at once.
   */
  private boolean isCopyCurrent() {
    return !ages.isOlderThan(table, waitMs + OVERDUE_MS);
  }

  private void send(long storeWaitMs, long nowMs) {
    StoreVersion version = state.mirror(table).version();
    Call call =
        new Call(
            latest.number() + 1,
            nowMs,
            ages.nowMs(),
            storeWaitMs,
            nowMs + storeWaitMs + OVERDUE_MS,
            version);
    latest = call;
    callsInFlight++;
    boolean outdated = version.number() == 0 || version.era() != store.era();
    CompletableFuture<RowPage> page =
        outdated || fullReadRequired
            ? store.readAll(table, TIMEOUT_MS)
            : store.readChanges(table, version, storeWaitMs, storeWaitMs + TIMEOUT_MS);
    page.whenCompleteAsync((result, failure) -> onPage(result, failure, call), loop);
  }

  private void onPage(RowPage page, Throwable failure, Call call) {
    callsInFlight--;
    boolean hasLaterAnswer = call.number() < answeredCall;
    answeredCall = Math.max(answeredCall, call.number());
    if (failure != null) {
      onFailure(failure, call, hasLaterAnswer);
    } else if (isBehind(page.version(), call.known())) {
      onFailure(new IllegalStateException("answer is older than the copy"), call, hasLaterAnswer);
    } else {
      fullReadRequired = false;
      retryDelayMs = INITIAL_RETRY_DELAY_MS;
      nextCallMs = clock.nowMs() + intervalMs;
      state.apply(table, page);
      long asOfMs = page.rows().isEmpty() ? endOfWaitMs(call) : call.asOfMs();
      ages.record(table, asOfMs);
      onSuccess.accept(asOfMs);
    }
  }

  /** Returns the time as of which nothing had changed when the store ended its wait. */
  private long endOfWaitMs(Call call) {
    return Math.min(ages.nowMs(), call.asOfMs() + call.waitMs());
  }

  private static boolean isBehind(StoreVersion answered, StoreVersion known) {
    return answered.era() == known.era() && known.isNewerThan(answered);
  }

  private void onFailure(Throwable failure, Call call, boolean hasLaterAnswer) {
    if (isCausedBy(failure, HistoryLostException.class)
        || isCausedBy(failure, EraChangedException.class)) {
      fullReadRequired = true;
      nextCallMs = clock.nowMs();
      logger
          .atInfo()
          .with(EventFields.TABLE, table)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("history lost, table is read again");
      return;
    }
    if (!hasLaterAnswer) {
      nextCallMs = clock.nowMs() + retryDelayMs;
      retryDelayMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
    }
    logger
        .atInfo()
        .atMostEvery(1, TimeUnit.SECONDS)
        .with(EventFields.TABLE, table)
        .with(EventFields.REASON, String.valueOf(failure))
        .with(EventFields.TOOK_MS, clock.nowMs() - call.sentMs())
        .with(EventFields.AGE_MS, ages.ageMs(table).orElse(-1))
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
