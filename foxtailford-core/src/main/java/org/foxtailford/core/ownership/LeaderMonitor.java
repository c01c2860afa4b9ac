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
 * Determines from the lease rows of other data centres which of them have a leader, and in which of
 * them no upstream can hold a grant any more.
 *
 * <p>A row counts as unchanged from the receipt of the first answer with its version to the send of
 * the latest read that returned the same version. Both times are taken from this VM's clock, so a
 * pause of this VM or a delayed answer of the table can only shorten that period.
 *
 * <p>Not thread-safe: all calls and callbacks must run on the same executor.
 */
public final class LeaderMonitor {

  /** Read intervals that may pass after the lease TTL without an observed renewal. */
  private static final int MAX_RENEWAL_AGE_INTERVALS = 3;

  private final OwnershipTiming timing;
  private final int intervalMs;
  private final TableService table;
  private final ConditionalWrites writes;
  private final MillisClock clock;
  private final LongSupplier writeIds;
  private final Executor control;
  private final Map<String, RowObservation> observations = new HashMap<>();

  /** Time at which the latest round of reads began. */
  private long lastRoundMs = Long.MIN_VALUE;

  /**
   * What this VM has read from one row.
   *
   * @param row the row as it was last read
   * @param record parsed value of the row
   * @param firstObservedMs time at which the first answer with this version arrived
   * @param lastConfirmedMs time at which the latest read that returned this version was sent
   * @param lastChangedMs time at which a change of version was last observed; empty if there was
   *     none
   */
  private record RowObservation(
      TableRow row,
      LeaseRecord record,
      long firstObservedMs,
      long lastConfirmedMs,
      OptionalLong lastChangedMs) {

    long unchangedMs() {
      return lastConfirmedMs - firstObservedMs;
    }
  }

  /**
   * Creates a monitor without observations.
   *
   * @param timing TTLs of this data centre; the rows contain those of the others
   * @param intervalMs minimum time between reads of a row, in milliseconds
   * @param table the table service
   * @param clock clock of this VM
   * @param writeIds supplies a unique ID for each write
   * @param control executor that runs all callbacks
   */
  public LeaderMonitor(
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
   * Reads the lease rows of data centres, unless the previous reads began less than the interval
   * ago.
   *
   * @return whether the rows were read; completes exceptionally if the table does not answer
   */
  public CompletableFuture<Boolean> observe(Collection<String> dataCentres) {
    long startedMs = clock.nowMs();
    if (lastRoundMs != Long.MIN_VALUE && startedMs - lastRoundMs < intervalMs) {
      return CompletableFuture.completedFuture(false);
    }
    lastRoundMs = startedMs;
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
                observations.compute(
                    dataCentre,
                    (name, previous) ->
                        row.map(
                                current ->
                                    updatedObservation(previous, current, sentMs, clock.nowMs()))
                            .orElse(null)),
            control);
  }

  private static RowObservation updatedObservation(
      @Nullable RowObservation previous, TableRow row, long sentMs, long nowMs) {
    if (previous == null) {
      return new RowObservation(row, parse(row), nowMs, nowMs, OptionalLong.empty());
    }
    if (previous.row().version() != row.version()) {
      return new RowObservation(row, parse(row), nowMs, nowMs, OptionalLong.of(nowMs));
    }
    long confirmedMs = Math.max(sentMs, previous.lastConfirmedMs());
    return new RowObservation(
        row, previous.record(), previous.firstObservedMs(), confirmedMs, previous.lastChangedMs());
  }

  /** Returns whether the leader of a data centre was observed to renew its lease recently. */
  public boolean hasLeader(String dataCentre) {
    RowObservation observation = observations.get(dataCentre);
    return observation != null
        && !observation.record().getExcluded()
        && observation.lastChangedMs().isPresent()
        && clock.nowMs() - observation.lastChangedMs().getAsLong() < maxRenewalAgeMs();
  }

  private long maxRenewalAgeMs() {
    return timing.leaseExpiryMs() + (long) MAX_RENEWAL_AGE_INTERVALS * intervalMs;
  }

  /**
   * Returns whether, at the latest read, no upstream of a data centre could still hold a grant.
   * None can then receive a grant before a leader of that data centre claims the homes again.
   */
  public boolean isAuthorityExpired(String dataCentre) {
    return findObservation(dataCentre)
        .filter(
            observation ->
                observation.record().getExcluded()
                    || isUnchanged(observation, timing.leadershipExpiryMs(observation.record())))
        .isPresent();
  }

  /**
   * Excludes the leaders of a data centre that an operator declared lost. The lease row is marked
   * only once the lease and the grants of its last leader have expired; until then this method does
   * nothing. The time for which a leader may continue without the table is not waited for.
   */
  public CompletableFuture<Void> exclude(String dataCentre) {
    Optional<RowObservation> expired =
        findObservation(dataCentre)
            .filter(observation -> !observation.record().getExcluded())
            .filter(
                observation ->
                    isUnchanged(
                        observation, timing.leadershipExpiryWithoutHoldMs(observation.record())));
    if (expired.isEmpty()) {
      return CompletableFuture.completedFuture(null);
    }
    TableRow row = expired.get().row();
    LeaseRecord record = expired.get().record();
    LeaseRecord exclusion =
        record.toBuilder()
            .clearHolder()
            .clearHolderBootId()
            .setEpoch(record.getEpoch() + 1)
            .setWriteId(writeIds.getAsLong())
            .setExcluded(true)
            .build();
    return writes
        .write(row.key(), row.version(), exclusion.toByteString())
        .thenAccept(written -> {});
  }

  private Optional<RowObservation> findObservation(String dataCentre) {
    return Optional.ofNullable(observations.get(dataCentre));
  }

  private static boolean isUnchanged(RowObservation observation, OptionalLong ms) {
    return ms.isPresent() && observation.unchangedMs() >= ms.getAsLong();
  }

  /** Returns the key of the lease row of a data centre. */
  public static String rowKey(String dataCentre) {
    return "leader-" + dataCentre;
  }

  private static LeaseRecord parse(TableRow row) {
    try {
      return LeaseRecord.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(
          "lease row " + row.key() + " does not contain a valid LeaseRecord", e);
    }
  }
}
