package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.TableMirror;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.LossRecord;
import org.foxtailford.schema.entry.UpstreamLoss;

/**
 * Writes the losses of upstreams that this VM has seen to the store, so that they outlast it and
 * reach VMs that reach no other one. Confined to the event loop.
 */
final class LossTable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum number of rows in a transaction; the store takes as many. */
  private static final int MAX_ROWS = 100;

  private final RowStore store;
  private final PoisonLimits limits;
  private final MillisClock clock;
  private final MillisClock timeOfDay;
  private final Executor loop;
  private final Deque<RowWrite> unwritten = new ArrayDeque<>();
  private boolean writeInFlight;
  private long nextWriteMs;
  private long nextCleanupMs;

  LossTable(RowStore store, PoisonLimits limits, ControlClocks clocks, Executor loop) {
    this.store = Assert.notNull(store, "store");
    this.limits = Assert.notNull(limits, "limits");
    this.clock = clocks.steady();
    this.timeOfDay = clocks.timeOfDay();
    this.loop = Assert.notNull(loop, "loop");
  }

  /** Adds losses that this VM has seen, and writes them unless a write is under way. */
  void add(Collection<UpstreamLoss> losses) {
    for (UpstreamLoss loss : losses) {
      long lostMs = timeOfDay.nowMs() - loss.getAgeMs();
      LossRecord record =
          LossRecord.newBuilder()
              .setUpstream(loss.getUpstream())
              .setFingerprint(loss.getFingerprint())
              .setLostMs(lostMs)
              .build();
      unwritten.add(RowWrite.put(SystemTables.LOSSES, key(record), -1, record.toByteArray()));
      if (unwritten.size() > limits.maxSuspects()) {
        unwritten.removeFirst();
      }
    }
    writeAsNeeded();
  }

  /** Returns a key that is short, whatever the upstream's name. */
  private static String key(LossRecord loss) {
    long upstream = LongHashFunction.xx3().hashChars(loss.getUpstream());
    return String.format("%016x-%016x-%d", loss.getFingerprint(), upstream, loss.getLostMs());
  }

  /** Returns a loss from the store as another VM would tell it. */
  UpstreamLoss toMessage(LossRecord loss) {
    return UpstreamLoss.newBuilder()
        .setUpstream(loss.getUpstream())
        .setFingerprint(loss.getFingerprint())
        .setAgeMs(Math.max(0, timeOfDay.nowMs() - loss.getLostMs()))
        .build();
  }

  /** Writes what is not written yet, if a write is due. */
  void writeAsNeeded() {
    if (writeInFlight || unwritten.isEmpty() || clock.nowMs() < nextWriteMs) {
      return;
    }
    List<RowWrite> rows = unwritten.stream().limit(MAX_ROWS).toList();
    writeInFlight = true;
    store
        .write(rows, store.era(), TablePoller.TIMEOUT_MS)
        .whenCompleteAsync((version, failure) -> onWritten(rows, failure), loop);
  }

  private void onWritten(List<RowWrite> rows, Throwable failure) {
    writeInFlight = false;
    if (failure == null) {
      unwritten.removeAll(rows);
      writeAsNeeded();
    } else {
      nextWriteMs = clock.nowMs() + ControlTiming.LOSS_WRITE_RETRY_MS;
      logger
          .atInfo()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.COUNT, (long) unwritten.size())
          .with(EventFields.REASON, String.valueOf(failure))
          .log("losses not written yet");
    }
  }

  /** Removes the rows that have expired; for the leader. */
  void removeExpired(TableMirror copy) {
    long nowMs = clock.nowMs();
    if (nowMs < nextCleanupMs) {
      return;
    }
    nextCleanupMs = nowMs + ControlTiming.LOSS_CLEANUP_MS;
    List<RowWrite> expired = new ArrayList<>();
    for (Row row : copy.all()) {
      if (expired.size() < MAX_ROWS && !row.deleted() && isExpired(row)) {
        expired.add(RowWrite.remove(SystemTables.LOSSES, row.key()));
      }
    }
    if (!expired.isEmpty()) {
      store
          .write(expired, store.era(), TablePoller.TIMEOUT_MS)
          .whenCompleteAsync((version, failure) -> onRemoved(expired.size(), failure), loop);
    }
  }

  private boolean isExpired(Row row) {
    try {
      return timeOfDay.nowMs() - RecordCodec.parseLoss(row).getLostMs() > limits.ttlMs();
    } catch (UnreadableRowException e) {
      return true; // nobody can use it
    }
  }

  private static void onRemoved(int count, Throwable failure) {
    logger
        .atInfo()
        .with(EventFields.COUNT, (long) count)
        .with(EventFields.REASON, failure == null ? "" : String.valueOf(failure))
        .log("expired losses removed");
  }
}
