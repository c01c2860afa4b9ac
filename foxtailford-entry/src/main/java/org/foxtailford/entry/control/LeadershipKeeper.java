package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.LeadershipTerms;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.store.EraChangedException;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.time.ClockReading;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.LeaderRecord;

/**
 * Keeps the leadership of this VM when the store was restored from an older copy.
 *
 * <p>The copy may name an earlier leader, or none. The leader in office knows every grant, so it is
 * better for callers that it stays than that another VM waits until all grants have expired. It
 * writes its record again under a term of the new era, unless another VM has acquired leadership in
 * that era. Confined to the event loop.
 */
final class LeadershipKeeper {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Receives the outcome. */
  interface Listener {

    /**
     * Called after the record was written again.
     *
     * @param kept this leader in the new era
     * @param mapVersions numbers of the versions of the services' maps in the restored store
     * @param sent when the confirming call was sent
     */
    void onKept(KnownLeader kept, Map<String, Long> mapVersions, ClockReading sent);

    /** Called if another VM has acquired leadership in the new era. */
    void onTaken();
  }

  private final RowStore store;
  private final ControlClocks clocks;
  private final Executor loop;
  private final Listener listener;
  private boolean callInFlight;
  private long nextTryMs;

  LeadershipKeeper(RowStore store, ControlClocks clocks, Executor loop, Listener listener) {
    this.store = Assert.notNull(store, "store");
    this.clocks = Assert.notNull(clocks, "clocks");
    this.loop = Assert.notNull(loop, "loop");
    this.listener = Assert.notNull(listener, "listener");
  }

  /** Tries to keep the leadership, unless a try is in flight or the last one was recent. */
  void keep(KnownLeader leader) {
    ClockReading sent = clocks.read();
    if (callInFlight || sent.steadyMs() < nextTryMs) {
      return;
    }
    callInFlight = true;
    store
        .readAll(SystemTables.LEADER, TablePoller.TIMEOUT_MS)
        .thenCombine(
            store.readAll(SystemTables.RANGES, TablePoller.TIMEOUT_MS),
            (record, maps) -> List.of(record, maps))
        .whenCompleteAsync(
            (pages, failure) -> {
              if (failure == null) {
                onRead(leader, pages.get(0), pages.get(1), sent);
              } else {
                retry(failure);
              }
            },
            loop);
  }

  private void onRead(KnownLeader leader, RowPage recordPage, RowPage mapPage, ClockReading sent) {
    long era = recordPage.version().era();
    if (mapPage.version().era() != era) {
      retry(new EraChangedException(era, mapPage.version().era()));
      return;
    }
    Optional<Row> row = LeaderElection.row(recordPage, SystemTables.LEADER_KEY);
    LeaderRecord record = row.map(LeaderElection::parse).orElse(LeaderRecord.getDefaultInstance());
    boolean isOfThisEra = record.getTerm() > 0 && LeadershipTerms.era(record.getTerm()) == era;
    boolean isOwn =
        record.getNode().equals(leader.node()) && record.getLife() == leader.incarnation();
    if (isOfThisEra && isOwn) {
      // An earlier try succeeded though its answer was lost.
      onWritten(leader, record.getTerm(), row.get().version(), mapPage, sent);
    } else if (isOfThisEra) {
      callInFlight = false;
      listener.onTaken();
    } else {
      write(leader, record.getTerm(), row.map(Row::version), mapPage, era);
    }
  }

  private void write(
      KnownLeader leader,
      long storedTerm,
      Optional<StoreVersion> storedVersion,
      RowPage mapPage,
      long era) {
    ClockReading sent = clocks.read();
    long term = LeadershipTerms.next(era, storedTerm, leader.term());
    byte[] value =
        RecordCodec.serializeLeader(
            new KnownLeader(
                leader.node(), leader.incarnation(), term, leader.address(), leader.rowVersion()),
            false,
            LeadershipTiming.GRANT_RENEWAL_WINDOW_MS); // of a leader that was lost with the rows
    long expected = storedVersion.map(StoreVersion::number).orElse(0L);
    store
        .write(
            List.of(RowWrite.put(SystemTables.LEADER, SystemTables.LEADER_KEY, expected, value)),
            era,
            TablePoller.TIMEOUT_MS)
        .whenCompleteAsync(
            (version, failure) -> {
              if (failure != null) {
                retry(failure);
              } else if (version.isPresent()) {
                onWritten(leader, term, version.get(), mapPage, sent);
              } else {
                callInFlight = false; // the record changed meanwhile and is read again
              }
            },
            loop);
  }

  private void onWritten(
      KnownLeader leader, long term, StoreVersion version, RowPage mapPage, ClockReading sent) {
    callInFlight = false;
    Map<String, Long> mapVersions = new HashMap<>();
    mapPage.rows().forEach(row -> mapVersions.put(row.key(), row.version().number()));
    logger
        .atWarning()
        .with(EventFields.FENCE, term)
        .with(EventFields.ERA, version.era())
        .with(EventFields.VERSION, version.number())
        .log("leadership kept in a restored store");
    listener.onKept(
        new KnownLeader(leader.node(), leader.incarnation(), term, leader.address(), version),
        mapVersions,
        sent);
  }

  private void retry(Throwable failure) {
    callInFlight = false;
    nextTryMs = clocks.steady().nowMs() + LeadershipTiming.RETRY_INTERVAL_MS;
    logger
        .atInfo()
        .with(EventFields.REASON, String.valueOf(failure))
        .log("leadership not kept yet");
  }
}
