package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.LeaderVacancyDetector;
import org.foxtailford.core.range.LeadershipTerms;
import org.foxtailford.core.range.LeadershipTiming;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.store.RowPage;
import org.foxtailford.core.store.RowStore;
import org.foxtailford.core.store.RowWrite;
import org.foxtailford.core.store.StoreVersion;
import org.foxtailford.core.store.UnreadableRowException;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.LeaderRecord;

/**
 * Polls the leader record while the leader doesn't respond, and acquires vacant leadership.
 * Confined to the event loop.
 */
final class LeaderElection {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /**
   * Leadership that this VM has acquired.
   *
   * @param leader this VM as the leader
   * @param holderEnded whether no earlier leader can be running: there was none, or it was an
   *     earlier incarnation of this VM, and the store was not restored since
   * @param previous what the record said before
   */
  record Acquired(KnownLeader leader, boolean holderEnded, Previous previous) {}

  /**
   * Record from which leadership was acquired.
   *
   * @param node name of the VM that held it; empty if nobody did
   * @param term term of its leadership; 0 if nobody did
   * @param vacancy why the leadership counted as vacant
   */
  record Previous(String node, long term, String vacancy) {}

  private final String node;
  private final long incarnation;
  private final UpstreamAddress address;
  private final RowStore store;
  private final LeaderVacancyDetector vacancyDetector;
  private final MillisClock clock;
  private final Executor loop;
  private final LongSupplier highestKnownTerm;
  private final boolean firstStart;
  private final Consumer<KnownLeader> onLeaderObserved;
  private final Consumer<Acquired> onAcquired;
  private boolean callInFlight;
  private long nextPollMs;

  /** Try to acquire leadership that got no answer, so that it may have succeeded. */
  private Optional<Acquired> unansweredTry = Optional.empty();

  /**
   * Creates an election.
   *
   * @param highestKnownTerm returns the highest term that this process has seen
   * @param firstStart whether the whole system starts for the first time, so that a store without a
   *     leader record has not lost one
   * @param onLeaderObserved receives each leader that the store names
   * @param onAcquired receives the leadership that this VM has acquired
   */
  LeaderElection(
      String node,
      long incarnation,
      UpstreamAddress address,
      RowStore store,
      LeaderVacancyDetector vacancyDetector,
      MillisClock clock,
      Executor loop,
      LongSupplier highestKnownTerm,
      boolean firstStart,
      Consumer<KnownLeader> onLeaderObserved,
      Consumer<Acquired> onAcquired) {
    this.node = Assert.hasLength(node, "node");
    this.incarnation = incarnation;
    this.address = Assert.notNull(address, "address");
    this.store = Assert.notNull(store, "store");
    this.vacancyDetector = Assert.notNull(vacancyDetector, "vacancyDetector");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
    this.highestKnownTerm = Assert.notNull(highestKnownTerm, "highestKnownTerm");
    this.firstStart = firstStart;
    this.onLeaderObserved = Assert.notNull(onLeaderObserved, "onLeaderObserved");
    this.onAcquired = Assert.notNull(onAcquired, "onAcquired");
  }

  /** Discards all observations; to be called when the leader has responded again. */
  void reset() {
    vacancyDetector.reset();
  }

  /**
   * Reads the leader record if a read is due, and tries to acquire leadership if it is vacant.
   *
   * @param connectionRefused whether a connection to the leader's address was refused
   * @param eligible whether this VM may lead
   */
  void poll(boolean connectionRefused, boolean eligible) {
    long nowMs = clock.nowMs();
    if (callInFlight || nowMs < nextPollMs) {
      return;
    }
    callInFlight = true;
    nextPollMs = nowMs + LeadershipTiming.POLL_INTERVAL_MS;
    store
        .readAll(SystemTables.LEADER, TablePoller.TIMEOUT_MS)
        .whenCompleteAsync(
            (page, failure) -> onRead(page, failure, connectionRefused, eligible), loop);
  }

  private void onRead(
      RowPage page, Throwable failure, boolean connectionRefused, boolean eligible) {
    callInFlight = false;
    if (failure != null) {
      logger
          .atInfo()
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leader record cannot be read");
      return;
    }
    Optional<Row> holder = row(page, SystemTables.LEADER_KEY);
    long renewal =
        row(page, SystemTables.RENEWAL_KEY).map(row -> row.version().number()).orElse(0L);
    long era = page.version().era();
    LeaderRecord record =
        holder.map(LeaderElection::parse).orElse(LeaderRecord.getDefaultInstance());
    boolean heldByPreviousIncarnation =
        record.getNode().equals(node) && record.getLife() != incarnation;
    if (adoptUnansweredTry(record, holder)) {
      return;
    }
    long nowMs = clock.nowMs();
    boolean noHolder = connectionRefused || record.getResigned();
    if (vacancyDetector.observe(
            record.getTerm(), renewal, heldByPreviousIncarnation, noHolder, nowMs)
        && eligible) {
      boolean recordComplete = LeadershipTerms.era(record.getTerm()) == era || firstStart;
      boolean holderEnded = recordComplete && (record.getTerm() == 0 || heldByPreviousIncarnation);
      StoreVersion expected = holder.map(Row::version).orElse(new StoreVersion(era, 0));
      long term = LeadershipTerms.next(era, record.getTerm(), highestKnownTerm.getAsLong());
      String vacancy = vacancy(record, heldByPreviousIncarnation, connectionRefused);
      tryAcquire(
          term, expected, holderEnded, new Previous(record.getNode(), record.getTerm(), vacancy));
    } else if (record.getTerm() > 0 && !record.getResigned()) {
      onLeaderObserved.accept(
          new KnownLeader(
              record.getNode(),
              record.getLife(),
              record.getTerm(),
              new UpstreamAddress(record.getHost(), record.getPort()),
              holder.map(Row::version).orElse(StoreVersion.NONE)));
    }
  }

  private static String vacancy(
      LeaderRecord record, boolean heldByPreviousIncarnation, boolean connectionRefused) {
    if (record.getTerm() == 0) {
      return "no leader yet";
    } else if (heldByPreviousIncarnation) {
      return "earlier incarnation";
    } else if (record.getResigned()) {
      return "resigned";
    }
    return connectionRefused ? "connection refused" : "not renewed in time";
  }

  /** Takes up leadership if the record shows that an unanswered try succeeded. */
  private boolean adoptUnansweredTry(LeaderRecord record, Optional<Row> holder) {
    Optional<Acquired> succeeded =
        unansweredTry.filter(
            acquired ->
                record.getNode().equals(node)
                    && record.getLife() == incarnation
                    && record.getTerm() == acquired.leader().term());
    if (succeeded.isEmpty() || holder.isEmpty()) {
      return false;
    }
    unansweredTry = Optional.empty();
    KnownLeader self =
        new KnownLeader(node, incarnation, record.getTerm(), address, holder.get().version());
    onAcquired.accept(
        new Acquired(self, succeeded.get().holderEnded(), succeeded.get().previous()));
    return true;
  }

  static Optional<Row> row(RowPage page, String key) {
    return page.rows().stream().filter(row -> row.key().equals(key)).findFirst();
  }

  static LeaderRecord parse(Row row) {
    try {
      return RecordCodec.parseLeader(row);
    } catch (UnreadableRowException e) {
      logger.atSevere().withCause(e).log("leader record invalid, leadership treated as vacant");
      return LeaderRecord.getDefaultInstance();
    }
  }

  private void tryAcquire(
      long term, StoreVersion expected, boolean holderEnded, Previous previous) {
    callInFlight = true;
    KnownLeader self = new KnownLeader(node, incarnation, term, address, StoreVersion.NONE);
    byte[] value = RecordCodec.serializeLeader(self, false);
    store
        .write(
            List.of(
                RowWrite.put(
                    SystemTables.LEADER, SystemTables.LEADER_KEY, expected.number(), value)),
            expected.era(),
            TablePoller.TIMEOUT_MS)
        .whenCompleteAsync(
            (version, failure) -> onAcquireResponse(term, holderEnded, previous, version, failure),
            loop);
  }

  private void onAcquireResponse(
      long term,
      boolean holderEnded,
      Previous previous,
      Optional<StoreVersion> version,
      Throwable failure) {
    callInFlight = false;
    unansweredTry = Optional.empty();
    if (failure != null) {
      KnownLeader self = new KnownLeader(node, incarnation, term, address, StoreVersion.NONE);
      unansweredTry = Optional.of(new Acquired(self, holderEnded, previous));
      logger
          .atInfo()
          .with(EventFields.FENCE, term)
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leadership not acquired");
    } else if (version.isPresent()) {
      onAcquired.accept(
          new Acquired(
              new KnownLeader(node, incarnation, term, address, version.get()),
              holderEnded,
              previous));
    } else {
      nextPollMs = clock.nowMs();
    }
  }
}
