package org.foxtailford.core.ownership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.foxtailford.core.platform.ConditionalWrites;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.LeaseRecord;
import org.jspecify.annotations.Nullable;

/**
 * Tells from the lease rows of other data centres which of them are led, and which can serve
 * nothing any more.
 *
 * <p>A row counts as unchanged from the answer of the read that first showed its version to the
 * send of the latest read that showed it again. Both are readings of this VM's own clock, so a
 * pause of this VM or of the table's answers only shortens that time.
 *
 * <p>Not thread-safe: all calls and callbacks run on one executor.
 */
public final class LeaderWatch {

  private static final int LED_WITHIN_INTERVALS = 3;

  private final OwnershipTiming timing;
  private final int intervalMs;
  private final TableService table;
  private final ConditionalWrites writes;
  private final MillisClock clock;
  private final LongSupplier writeIds;
  private final Executor control;
  private final Map<String, Sighting> sightings = new HashMap<>();
  private long roundMs = Long.MIN_VALUE;

  /** What is known of one row. */
  private record Sighting(
      TableRow row,
      LeaseRecord record,
      long firstSeenMs,
      long lastConfirmedMs,
      OptionalLong changedMs) {

    long unchangedMs() {
      return lastConfirmedMs - firstSeenMs;
    }
  }

  /**
   * Creates a watch that has seen nothing.
   *
   * @param timing times to live; the rows tell those of other data centres
   * @param intervalMs least time between reads of a row
   * @param table the table service
   * @param clock clock of this VM
   * @param writeIds gives a number never given before
   * @param control executor of all callbacks
   */
  public LeaderWatch(
      OwnershipTiming timing,
      int intervalMs,
      TableService table,
      MillisClock clock,
      LongSupplier writeIds,
      Executor control) {
    this.timing = Assert.notNull(timing, "timing");
    Assert.isTrue(intervalMs > 0, "intervalMs must be positive");
    this.intervalMs = intervalMs;
    this.table = Assert.notNull(table, "table");
    this.writes = new ConditionalWrites(table);
    this.clock = Assert.notNull(clock, "clock");
    this.writeIds = Assert.notNull(writeIds, "writeIds");
    this.control = Assert.notNull(control, "control");
  }

  /**
   * Reads the lease rows of data centres, unless that was done a short while ago.
   *
   * @return whether they were read; fails if the table does not answer
   */
  public CompletableFuture<Boolean> observe(Collection<String> dataCentres) {
    long startedMs = clock.nowMs();
    if (roundMs != Long.MIN_VALUE && startedMs - roundMs < intervalMs) {
      return CompletableFuture.completedFuture(false);
    }
    roundMs = startedMs;
    CompletableFuture<?>[] reads =
        dataCentres.stream().map(this::observe).toArray(CompletableFuture<?>[]::new);
    return CompletableFuture.allOf(reads).thenApply(done -> true);
  }

  private CompletableFuture<Void> observe(String dataCentre) {
    long sentMs = clock.nowMs();
    return table
        .read(rowKey(dataCentre))
        .thenAcceptAsync(
            row ->
                sightings.compute(
                    dataCentre,
                    (name, last) ->
                        row.map(found -> next(last, found, sentMs, clock.nowMs())).orElse(null)),
            control);
  }

  private static Sighting next(@Nullable Sighting last, TableRow row, long sentMs, long nowMs) {
    if (last == null) {
      return new Sighting(row, parse(row), nowMs, nowMs, OptionalLong.empty());
    }
    if (last.row().version() != row.version()) {
      return new Sighting(row, parse(row), nowMs, nowMs, OptionalLong.of(nowMs));
    }
    long confirmedMs = Math.max(sentMs, last.lastConfirmedMs());
    return new Sighting(row, last.record(), last.firstSeenMs(), confirmedMs, last.changedMs());
  }

  /** Tells whether the leader of a data centre renewed its lease a short while ago. */
  public boolean isLed(String dataCentre) {
    Sighting sighting = sightings.get(dataCentre);
    return sighting != null
        && !sighting.record().getExcluded()
        && sighting.changedMs().isPresent()
        && clock.nowMs() - sighting.changedMs().getAsLong() < ledWithinMs();
  }

  private long ledWithinMs() {
    return timing.leaseExpiryMs() + (long) LED_WITHIN_INTERVALS * intervalMs;
  }

  /**
   * Tells whether no upstream of a data centre could hold a grant at the latest read, and none can
   * receive one before a leader claims the homes again.
   */
  public boolean isOver(String dataCentre) {
    return find(dataCentre)
        .filter(
            sighting ->
                sighting.record().getExcluded()
                    || isUnchanged(sighting, timing.leadershipExpiryMs(sighting.record())))
        .isPresent();
  }

  /**
   * Ends the authority of a data centre's leaders that an operator stated to be lost, as soon as
   * the lease and the grants of one that was lost have lapsed.
   */
  public CompletableFuture<Void> exclude(String dataCentre) {
    Optional<Sighting> due =
        find(dataCentre)
            .filter(sighting -> !sighting.record().getExcluded())
            .filter(s -> isUnchanged(s, timing.leadershipExpiryWithoutHoldMs(s.record())));
    if (due.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    TableRow row = due.get().row();
    LeaseRecord record = due.get().record();
    LeaseRecord excluding =
        record.toBuilder()
            .clearHolder()
            .clearHolderBootId()
            .setEpoch(record.getEpoch() + 1)
            .setWriteId(writeIds.getAsLong())
            .setExcluded(true)
            .build();
    return writes
        .write(row.key(), row.version(), excluding.toByteString())
        .thenAccept(written -> {});
  }

  private Optional<Sighting> find(String dataCentre) {
    return Optional.ofNullable(sightings.get(dataCentre));
  }

  private static boolean isUnchanged(Sighting sighting, OptionalLong ms) {
    return ms.isPresent() && sighting.unchangedMs() >= ms.getAsLong();
  }

  /** Returns the key of a data centre's lease row. */
  public static String rowKey(String dataCentre) {
    return "leader-" + dataCentre;
  }

  private static LeaseRecord parse(TableRow row) {
    try {
      return LeaseRecord.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("lease row " + row.key() + " cannot be read", e);
    }
  }
}
