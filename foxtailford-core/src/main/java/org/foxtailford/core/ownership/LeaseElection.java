package org.foxtailford.core.ownership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.LeaseRecord;
import org.jspecify.annotations.Nullable;

/**
 * Holds or watches one lease row of the table.
 *
 * <p>A watcher takes the lease over once it has seen the row unchanged for the whole time to live,
 * counted from the answer of the read that first showed it. A holder counts its own validity from
 * before the send of the write, so the two never overlap. An unanswered write is resolved by
 * reading the row back and comparing write ids.
 *
 * <p>Not thread-safe: all calls and callbacks run on one executor.
 */
public final class LeaseElection {

  private final String rowKey;
  private final String holder;
  private final long bootId;
  private final OwnershipTiming timing;
  private final TableService table;
  private final MillisClock clock;
  private final LongSupplier writeIds;
  private final Executor control;

  private boolean inFlight;
  private @Nullable HeldLease held;
  private @Nullable PendingWrite unresolved;
  private long seenVersion = -1;
  private long seenSinceMs;
  private LeaseRecord seenRecord = LeaseRecord.getDefaultInstance();

  private record PendingWrite(LeaseRecord record, long sentMs) {}

  /**
   * Creates an election.
   *
   * @param rowKey row of the lease
   * @param holder name of this VM
   * @param bootId number that tells this process from earlier ones on the VM
   * @param timing times to live
   * @param table the table service
   * @param clock clock of this VM
   * @param writeIds gives a number never given before
   * @param control executor of all callbacks
   */
  public LeaseElection(
      String rowKey,
      String holder,
      long bootId,
      OwnershipTiming timing,
      TableService table,
      MillisClock clock,
      LongSupplier writeIds,
      Executor control) {
    this.rowKey = Assert.hasLength(rowKey, "rowKey");
    this.holder = Assert.hasLength(holder, "holder");
    this.bootId = bootId;
    this.timing = Assert.notNull(timing, "timing");
    this.table = Assert.notNull(table, "table");
    this.clock = Assert.notNull(clock, "clock");
    this.writeIds = Assert.notNull(writeIds, "writeIds");
    this.control = Assert.notNull(control, "control");
  }

  /** Returns the lease if this VM holds it at this moment. */
  public Optional<HeldLease> lease() {
    return Optional.ofNullable(held).filter(lease -> clock.nowMs() < lease.validUntilMs());
  }

  /** Returns the name of the holder that the table showed last; empty text if none. */
  public String lastKnownHolder() {
    return seenRecord.getHolder();
  }

  /** Renews, watches or takes over the lease. Called at every renewal interval. */
  public void tick() {
    if (inFlight) {
      return;
    }
    inFlight = true;
    Optional<HeldLease> current = lease();
    CompletableFuture<Void> step =
        current.isPresent() && unresolved == null ? renew(current.get()) : observe();
    step.whenCompleteAsync((done, failure) -> inFlight = false, control);
  }

  private CompletableFuture<Void> renew(HeldLease lease) {
    return write(lease.rowVersion(), record(lease.epoch()));
  }

  private CompletableFuture<Void> observe() {
    return table.read(rowKey).thenComposeAsync(this::onRow, control);
  }

  private CompletableFuture<Void> onRow(Optional<TableRow> row) {
    long version = row.map(TableRow::version).orElse(TableService.ABSENT);
    LeaseRecord record = row.map(LeaseElection::parse).orElse(LeaseRecord.getDefaultInstance());
    PendingWrite pending = unresolved;
    unresolved = null;
    if (pending != null && pending.record().getWriteId() == record.getWriteId()) {
      onApplied(version, pending);
      return CompletableFuture.completedFuture(null);
    }
    if (version != seenVersion) {
      held = null;
      noteSeen(version, record);
    }
    boolean lapsed = clock.nowMs() - seenSinceMs >= timing.lapsedLeaseMs();
    if (version == TableService.ABSENT || lapsed) {
      return write(version, record(record.getEpoch() + 1));
    }
    return CompletableFuture.completedFuture(null);
  }

  private CompletableFuture<Void> write(long expectedVersion, LeaseRecord record) {
    PendingWrite pending = new PendingWrite(record, clock.nowMs());
    return table
        .write(rowKey, expectedVersion, record.toByteString())
        .handleAsync((result, failure) -> onWritten(pending, result, failure), control);
  }

  private @Nullable Void onWritten(
      PendingWrite pending, @Nullable WriteResult result, @Nullable Throwable failure) {
    if (failure != null || result == null) {
      unresolved = pending;
    } else if (result.applied()) {
      onApplied(result.version(), pending);
    } else {
      held = null;
    }
    return null;
  }

  private void onApplied(long version, PendingWrite pending) {
    long validUntilMs = pending.sentMs() + timing.trustedLeaseMs();
    HeldLease lease = held;
    if (lease != null && lease.epoch() == pending.record().getEpoch()) {
      held = lease.renewed(version, validUntilMs);
    } else {
      held = new HeldLease(pending.record().getEpoch(), version, clock.nowMs(), validUntilMs);
    }
    noteSeen(version, pending.record());
  }

  private void noteSeen(long version, LeaseRecord record) {
    seenVersion = version;
    seenSinceMs = clock.nowMs();
    seenRecord = record;
  }

  private LeaseRecord record(long epoch) {
    return LeaseRecord.newBuilder()
        .setHolder(holder)
        .setHolderBootId(bootId)
        .setEpoch(epoch)
        .setTtlMs(timing.leaseTtlMs())
        .setWriteId(writeIds.getAsLong())
        .build();
  }

  private static LeaseRecord parse(TableRow row) {
    try {
      return LeaseRecord.parseFrom(row.value());
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("lease row " + row.key() + " cannot be read", e);
    }
  }
}
