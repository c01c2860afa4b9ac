package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.range.EarlierGrants;
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
import org.foxtailford.schema.entry.RenewalRecord;

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
   * @param firstLeader whether nobody has led before, so that no map of the owners can be lost
   * @param earlierGrants until when anyone before may grant keys
   * @param previous what the record said before
   * @param confirmedMs when the call that confirmed the leadership was sent, in milliseconds
   */
  record Acquired(
      KnownLeader leader,
      boolean firstLeader,
      EarlierGrants earlierGrants,
      Previous previous,
      long confirmedMs) {}

  /**
   * Record from which leadership was acquired.
   *
   * @param node name of the VM that held it; empty if nobody did
   * @param term term of its leadership; 0 if nobody did
   * @param vacancy why the leadership counted as vacant
   */
  record Previous(String node, long term, String vacancy) {}

  /**
   * Try to acquire leadership.
   *
   * @param term term of the leadership
   * @param firstLeader whether nobody has led before
   * @param earlierGrants until when anyone before may grant keys; empty if that depends on when the
   *     try succeeds, because another VM may still lead until then
   * @param previous what the record said before
   */
  private record Try(
      long term, boolean firstLeader, Optional<EarlierGrants> earlierGrants, Previous previous) {}

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
  private Optional<Try> unansweredTry = Optional.empty();

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
            (page, failure) -> onRead(page, failure, connectionRefused, eligible, nowMs), loop);
  }

  private void onRead(
      RowPage page, Throwable failure, boolean connectionRefused, boolean eligible, long sentMs) {
    callInFlight = false;
    if (failure != null) {
      logger
          .atInfo()
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leader record cannot be read");
      return;
    }
    Optional<Row> holder = row(page, SystemTables.LEADER_KEY);
    Optional<Row> renewal = row(page, SystemTables.RENEWAL_KEY);
    long era = page.version().era();
    LeaderRecord record =
        holder.map(LeaderElection::parse).orElse(LeaderRecord.getDefaultInstance());
    if (adoptUnansweredTry(record, holder, sentMs)) {
      return;
    }
    long nowMs = clock.nowMs();
    boolean heldByPreviousIncarnation = isOfPreviousIncarnation(record);
    boolean noHolder = connectionRefused || record.getResigned();
    long renewalVersion = renewal.map(row -> row.version().number()).orElse(0L);
    if (vacancyDetector.observe(
            record.getTerm(), renewalVersion, heldByPreviousIncarnation, noHolder, nowMs)
        && eligible) {
      boolean sameEra = LeadershipTerms.era(record.getTerm()) == era;
      boolean firstLeader =
          holder.isEmpty() && (sameEra || firstStart) && highestKnownTerm.getAsLong() == 0;
      Optional<EarlierGrants> earlierGrants =
          firstLeader
              ? Optional.of(EarlierGrants.none(nowMs))
              : Optional.of(statedLeftMs(record, renewal))
                  .filter(stated -> sameEra && heldByPreviousIncarnation)
                  .map(stated -> EarlierGrants.afterEarlierIncarnation(stated, nowMs));
      String vacancy = vacancy(record, heldByPreviousIncarnation, connectionRefused);
      Previous previous = new Previous(record.getNode(), record.getTerm(), vacancy);
      long term = LeadershipTerms.next(era, record.getTerm(), highestKnownTerm.getAsLong());
      StoreVersion expected = holder.map(Row::version).orElse(new StoreVersion(era, 0));
      tryAcquire(new Try(term, firstLeader, earlierGrants, previous), expected);
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

  /** Returns whether the holder has ended, because this process listens at its address. */
  private boolean isOfPreviousIncarnation(LeaderRecord record) {
    return record.getNode().equals(node)
        && record.getLife() != incarnation
        && record.getHost().equals(address.host())
        && record.getPort() == address.port();
  }

  /** Returns for how long leaders before the holder may grant keys, as the holder stated last. */
  private static OptionalLong statedLeftMs(LeaderRecord record, Optional<Row> renewal) {
    Optional<RenewalRecord> last =
        renewal
            .flatMap(LeaderElection::parseRenewal)
            .filter(parsed -> parsed.getTerm() == record.getTerm());
    if (last.isPresent()) {
      return last.get().hasEarlierGrantsLeftMs()
          ? OptionalLong.of(last.get().getEarlierGrantsLeftMs())
          : OptionalLong.empty();
    }
    return record.hasEarlierGrantsLeftMs()
        ? OptionalLong.of(record.getEarlierGrantsLeftMs())
        : OptionalLong.empty();
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

  /**
   * Takes up leadership if the record shows that an unanswered try succeeded.
   *
   * @param sentMs when the read of the record was sent, in milliseconds
   */
  private boolean adoptUnansweredTry(LeaderRecord record, Optional<Row> holder, long sentMs) {
    Optional<Try> succeeded =
        unansweredTry.filter(
            made ->
                record.getNode().equals(node)
                    && record.getLife() == incarnation
                    && record.getTerm() == made.term());
    if (succeeded.isEmpty() || holder.isEmpty()) {
      return false;
    }
    unansweredTry = Optional.empty();
    onAcquired.accept(acquired(succeeded.get(), holder.get().version(), sentMs));
    return true;
  }

  private Acquired acquired(Try made, StoreVersion version, long confirmedMs) {
    return new Acquired(
        new KnownLeader(node, incarnation, made.term(), address, version),
        made.firstLeader(),
        made.earlierGrants().orElseGet(() -> EarlierGrants.afterTakeover(clock.nowMs())),
        made.previous(),
        confirmedMs);
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

  private static Optional<RenewalRecord> parseRenewal(Row row) {
    try {
      return Optional.of(RecordCodec.parseRenewal(row));
    } catch (UnreadableRowException e) {
      logger.atSevere().withCause(e).log("renewal of the leadership invalid");
      return Optional.empty();
    }
  }

  private void tryAcquire(Try made, StoreVersion expected) {
    callInFlight = true;
    long sentMs = clock.nowMs();
    KnownLeader self = new KnownLeader(node, incarnation, made.term(), address, StoreVersion.NONE);
    long leftMs =
        made.earlierGrants().orElseGet(() -> EarlierGrants.afterTakeover(sentMs)).leftMs(sentMs);
    byte[] value = RecordCodec.serializeLeader(self, false, leftMs);
    store
        .write(
            List.of(
                RowWrite.put(
                    SystemTables.LEADER, SystemTables.LEADER_KEY, expected.number(), value)),
            expected.era(),
            TablePoller.TIMEOUT_MS)
        .whenCompleteAsync(
            (version, failure) -> onAcquireResponse(made, version, failure, sentMs), loop);
  }

  private void onAcquireResponse(
      Try made, Optional<StoreVersion> version, Throwable failure, long sentMs) {
    callInFlight = false;
    unansweredTry = Optional.empty();
    if (failure != null) {
      unansweredTry = Optional.of(made);
      logger
          .atInfo()
          .with(EventFields.FENCE, made.term())
          .with(EventFields.REASON, String.valueOf(failure))
          .log("leadership not acquired");
    } else if (version.isPresent()) {
      onAcquired.accept(acquired(made, version.get(), sentMs));
    } else {
      nextPollMs = clock.nowMs();
    }
  }
}
