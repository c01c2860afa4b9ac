package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.LeaderVacancyDetector;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.LeaderRecord;

/**
 * Looks at the leader's row while the leader is not heard of, and takes a vacant seat. Used on the
 * event loop only.
 */
final class LeaderElection {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * The seat was taken by this VM.
   *
   * @param seat the seat
   * @param holderGone whether the process of the last holder surely ended
   */
  record Taken(LeaderSeat seat, boolean holderGone) {}

  private final String node;
  private final long life;
  private final UpstreamAddress address;
  private final RowStore store;
  private final LeaderVacancyDetector vacancyDetector;
  private final MillisClock clock;
  private final Executor loop;
  private final Consumer<LeaderSeat> onSeen;
  private final Consumer<Taken> onTaken;
  private boolean inCall;
  private long nextLookMs;

  LeaderElection(
      String node,
      long life,
      UpstreamAddress address,
      RowStore store,
      LeaderVacancyDetector vacancyDetector,
      MillisClock clock,
      Executor loop,
      Consumer<LeaderSeat> onSeen,
      Consumer<Taken> onTaken) {
    this.node = Assert.hasLength(node, "node");
    this.life = life;
    this.address = Assert.notNull(address, "address");
    this.store = Assert.notNull(store, "store");
    this.vacancyDetector = Assert.notNull(vacancyDetector, "vacancyDetector");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.onSeen = Assert.notNull(onSeen, "onSeen");
    this.onTaken = Assert.notNull(onTaken, "onTaken");
  }

  /** Forgets what was seen, once the leader is heard of. */
  void reset() {
    vacancyDetector.reset();
  }

  /**
   * Looks at the seat if it is time.
   *
   * @param nobodyListens whether nothing listens where the leader did
   */
  void look(boolean nobodyListens) {
    long nowMs = clock.nowMs();
    if (inCall || nowMs < nextLookMs) {
      return;
    }
    inCall = true;
    nextLookMs = nowMs + LeadershipTiming.POLL_INTERVAL_MS;
    store
        .readAll(SystemTables.LEADER, TablePoller.CALL_MS)
        .whenCompleteAsync((page, failure) -> onRead(page, failure, nobodyListens), loop);
  }

  private void onRead(RowPage page, Throwable failure, boolean nobodyListens) {
    inCall = false;
    if (failure != null) {
      logger
          .atInfo()
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leader's seat can't be read");
      return;
    }
    Optional<Row> holder = row(page, SystemTables.LEADER_KEY);
    long renewal = row(page, SystemTables.RENEWAL_KEY).map(Row::version).orElse(0L);
    LeaderRecord record =
        holder.map(LeaderElection::read).orElse(LeaderRecord.getDefaultInstance());
    boolean pastSelf = record.getNode().equals(node) && record.getLife() != life;
    long nowMs = clock.nowMs();
    if (vacancyDetector.observe(record.getTerm(), renewal, pastSelf, nobodyListens, nowMs)) {
      boolean gone = record.getTerm() == 0 || pastSelf;
      take(record.getTerm() + 1, holder.map(Row::version).orElse(0L), gone);
    } else if (record.getTerm() > 0) {
      onSeen.accept(
          new LeaderSeat(
              record.getNode(),
              record.getLife(),
              record.getTerm(),
              new UpstreamAddress(record.getHost(), record.getPort()),
              holder.map(Row::version).orElse(0L)));
    }
  }

  private static Optional<Row> row(RowPage page, String key) {
    return page.rows().stream().filter(row -> row.key().equals(key)).findFirst();
  }

  private static LeaderRecord read(Row row) {
    try {
      return RecordCodec.leader(row);
    } catch (UnreadableRowException e) {
      logger.atSevere().withCause(e).log("leader's row can't be read, the seat is taken anew");
      return LeaderRecord.getDefaultInstance();
    }
  }

  private void take(long term, long expectedVersion, boolean holderGone) {
    inCall = true;
    byte[] value =
        LeaderRecord.newBuilder()
            .setNode(node)
            .setLife(life)
            .setTerm(term)
            .setHost(address.host())
            .setPort(address.port())
            .build()
            .toByteArray();
    store
        .write(
            List.of(
                RowWrite.put(SystemTables.LEADER, SystemTables.LEADER_KEY, expectedVersion, value)),
            TablePoller.CALL_MS)
        .whenCompleteAsync((version, failure) -> onTake(term, holderGone, version, failure), loop);
  }

  private void onTake(long term, boolean holderGone, OptionalLong version, Throwable failure) {
    inCall = false;
    if (failure != null) {
      logger
          .atInfo()
          .with(EventFields.FENCE, term)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leader's seat not taken");
    } else if (version.isPresent()) {
      onTaken.accept(
          new Taken(new LeaderSeat(node, life, term, address, version.getAsLong()), holderGone));
    } else {
      nextLookMs = clock.nowMs();
    }
  }
}
