package org.foxtailford.core.ownership;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.Arbiter;
import org.foxtailford.schema.LeaseRecord;
import org.jspecify.annotations.Nullable;

/**
 * Acquires, renews and observes a lease that is stored in one row of the table.
 *
 * <p>An observer takes the lease over once the row has been unchanged for the whole TTL, counted
 * from the answer to the read that first returned the row's version. A holder counts the validity
 * of its lease from before it sends the write, so the two periods never overlap. The outcome of an
 * unanswered write is determined by reading the row back and comparing write IDs. An observer that
 * could not read the row for longer than the TTL restarts its count, so that the holder can renew
 * first after an outage.
 *
 * <p>The row also names the holder's arbiters. A new holder keeps writing the arbiters that it read
 * from the row until it proposes others.
 *
 * <p>A holder abandons its epoch when the table has not answered for so long that another data
 * centre may have taken over its homes. The VM then observes the row and, if no other VM takes the
 * lease, acquires it under a higher epoch.
 *
 * <p>Not thread-safe: all calls and callbacks must run on the same executor.
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

  private final List<Runnable> acquiredListeners = new ArrayList<>();
  private boolean inFlight;
  private @Nullable HeldLease held;
  private @Nullable PendingWrite unresolvedWrite;
  private long observedVersion = -1;
  private long observedSinceMs;
  private long lastReadMs = Long.MIN_VALUE;
  private LeaseRecord observedRecord = LeaseRecord.getDefaultInstance();
  private List<Arbiter> proposed = List.of();
  private List<Arbiter> inherited = List.of();

  /** Every set of arbiters written since the last applied write, including that write's set. */
  private final Set<List<Arbiter>> possiblyWritten = new HashSet<>();

  /** Incremented when the lease is abandoned, so that earlier writes no longer have an effect. */
  private int generation;

  /** A write whose outcome may be unknown; it is ignored after its generation has ended. */
  private record PendingWrite(LeaseRecord record, long sentMs, int generation) {}

  /**
   * Creates an election.
   *
   * @param rowKey key of the lease row
   * @param holder name of this VM
   * @param bootId number that distinguishes this process from earlier ones on the same VM
   * @param timing TTLs and clock margins
   * @param table the table service
   * @param clock clock of this VM
   * @param writeIds supplies a unique ID for each write
   * @param control executor that runs all callbacks
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

  /** Adds a listener that runs each time this VM acquires the lease under a new epoch. */
  public void addAcquiredListener(Runnable listener) {
    acquiredListeners.add(Assert.notNull(listener, "listener"));
  }

  /**
   * Gives up the lease immediately. The row is not changed and names this VM until another VM takes
   * the lease over.
   */
  public void abandon() {
    held = null;
    generation++;
  }

  /** Returns the lease, or an empty value if this VM does not hold it now. */
  public Optional<HeldLease> lease() {
    return Optional.ofNullable(held).filter(lease -> clock.nowMs() < lease.validUntilMs());
  }

  /**
   * Returns the lease that this VM holds or last held, even if it has expired, or an empty value if
   * the lease was abandoned or another VM is known to have taken it over.
   */
  public Optional<HeldLease> unsupersededLease() {
    return Optional.ofNullable(held);
  }

  /** Returns the arbiters that the row named when this VM acquired the lease. */
  public List<Arbiter> inheritedArbiters() {
    return inherited;
  }

  /** Returns every set of arbiters that the row may name now, given writes of unknown outcome. */
  public Set<List<Arbiter>> possibleArbiters() {
    return Set.copyOf(possiblyWritten);
  }

  /** Returns the arbiters that the next renewal writes. */
  public List<Arbiter> proposedArbiters() {
    return proposed;
  }

  /** Sets the arbiters that the next renewal writes. */
  public void proposeArbiters(List<Arbiter> arbiters) {
    proposed = List.copyOf(arbiters);
  }

  /** Returns the name of the last observed holder, or an empty string if there is none. */
  public String lastKnownHolder() {
    return observedRecord.getHolder();
  }

  /** Returns the last observed version of the row, or a negative number if there is none. */
  public long lastKnownVersion() {
    return observedVersion;
  }

  /**
   * Renews, observes or takes over the lease. Must be called once per renewal interval; does
   * nothing while the previous call is in progress.
   */
  public void tick() {
    if (inFlight) {
      return;
    }
    inFlight = true;
    Optional<HeldLease> current = lease();
    CompletableFuture<Void> attempt =
        current.isPresent() && unresolvedWrite == null ? renew(current.get()) : observe();
    attempt.whenCompleteAsync((done, failure) -> inFlight = false, control);
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
    PendingWrite pending = unresolvedWrite;
    unresolvedWrite = null;
    if (pending != null
        && pending.generation() == generation
        && pending.record().getWriteId() == record.getWriteId()) {
      onApplied(version, pending);
      return lease().map(this::renew).orElseGet(() -> CompletableFuture.completedFuture(null));
    }
    boolean readGap = clock.nowMs() - lastReadMs > timing.leaseTtlMs();
    lastReadMs = clock.nowMs();
    if (held != null && mustAbandon(held.validUntilMs())) {
      abandon();
    }
    HeldLease own = held;
    if (own != null && (version == own.rowVersion() || isOwnRenewal(record, own))) {
      held = own.renewed(version, own.validUntilMs());
      return write(version, record(own.epoch()));
    }
    if (version != observedVersion || readGap) {
      held = null;
      recordObservation(version, record);
    }
    boolean expired = clock.nowMs() - observedSinceMs >= timing.leaseExpiryMs();
    if (version == TableService.ABSENT || expired) {
      proposed = List.copyOf(record.getArbitersList());
      return write(version, record(record.getEpoch() + 1));
    }
    return CompletableFuture.completedFuture(null);
  }

  /**
   * Returns whether a lease that expired at the given time went unconfirmed for so long that it
   * must be abandoned.
   */
  private boolean mustAbandon(long validUntilMs) {
    return clock.nowMs() - validUntilMs >= timing.termExpiryMs();
  }

  /** Returns whether a row is a renewal by this process that was applied late. */
  private boolean isOwnRenewal(LeaseRecord record, HeldLease own) {
    return record.getHolder().equals(holder)
        && record.getHolderBootId() == bootId
        && record.getEpoch() == own.epoch();
  }

  private CompletableFuture<Void> write(long expectedVersion, LeaseRecord record) {
    PendingWrite pending = new PendingWrite(record, clock.nowMs(), generation);
    possiblyWritten.add(record.getArbitersList());
    return table
        .write(rowKey, expectedVersion, record.toByteString())
        .handleAsync((result, failure) -> onWritten(pending, result, failure), control);
  }

  private @Nullable Void onWritten(
      PendingWrite pending, @Nullable WriteResult result, @Nullable Throwable failure) {
    if (failure != null || result == null) {
      unresolvedWrite = pending;
    } else if (result.applied()) {
      onApplied(result.version(), pending);
    } else {
      unresolvedWrite = pending;
    }
    return null;
  }

  private void onApplied(long version, PendingWrite pending) {
    long validUntilMs = pending.sentMs() + timing.trustedLeaseMs();
    HeldLease lease = held;
    if (pending.generation() != generation) {
      return;
    }
    if (mustAbandon(lease == null ? validUntilMs : lease.validUntilMs())) {
      abandon();
      return;
    }
    if (lease != null && lease.epoch() == pending.record().getEpoch()) {
      held = lease.renewed(version, validUntilMs);
    } else {
      held = new HeldLease(pending.record().getEpoch(), version, clock.nowMs(), validUntilMs);
      inherited = pending.record().getArbitersList();
    }
    possiblyWritten.clear();
    possiblyWritten.add(pending.record().getArbitersList());
    lastReadMs = clock.nowMs();
    recordObservation(version, pending.record());
    if (lease == null || lease.epoch() != pending.record().getEpoch()) {
      acquiredListeners.forEach(Runnable::run);
    }
  }

  private void recordObservation(long version, LeaseRecord record) {
    observedVersion = version;
    observedSinceMs = clock.nowMs();
    observedRecord = record;
  }

  private LeaseRecord record(long epoch) {
    return LeaseRecord.newBuilder()
        .setHolder(holder)
        .setHolderBootId(bootId)
        .setEpoch(epoch)
        .setTtlMs(timing.leaseTtlMs())
        .setHoldWithoutTableMs(timing.holdWithoutTableMs())
        .setGrantTtlMs(timing.grantTtlMs())
        .setWriteId(writeIds.getAsLong())
        .addAllArbiters(proposed)
        .build();
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
