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
 * Holds or watches one lease row of the table.
 *
 * <p>A watcher takes the lease over once it has seen the row unchanged for the whole time to live,
 * counted from the answer of the read that first showed it. A holder counts its own validity from
 * before the send of the write, so the two never overlap. An unanswered write is resolved by
 * reading the row back and comparing write ids. A watcher that could not read the row for longer
 * than the time to live starts to count again, so that a holder renews first after an outage.
 *
 * <p>The row also names the arbiters of its holder. A new holder writes those that it found until
 * it proposes others.
 *
 * <p>An epoch ends when its holder had no answer of the table for so long that another data centre
 * may have taken its homes; the VM then watches and, if nobody else does, begins a higher epoch.
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

  private final List<Runnable> acquiredListeners = new ArrayList<>();
  private boolean inFlight;
  private @Nullable HeldLease held;
  private @Nullable PendingWrite unresolved;
  private long seenVersion = -1;
  private long seenSinceMs;
  private long lastReadMs = Long.MIN_VALUE;
  private LeaseRecord seenRecord = LeaseRecord.getDefaultInstance();
  private List<Arbiter> proposed = List.of();
  private List<Arbiter> inherited = List.of();
  private final Set<List<Arbiter>> possiblyWritten = new HashSet<>();

  private int tenure;

  /** A write whose outcome may be unknown; it counts only for the tenure that sent it. */
  private record PendingWrite(LeaseRecord record, long sentMs, int tenure) {}

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

  /** Adds what runs as soon as this VM has taken the lease over. */
  public void addAcquiredListener(Runnable listener) {
    acquiredListeners.add(Assert.notNull(listener, "listener"));
  }

  /** Gives the lease up at once; the row still names this VM until another one takes it over. */
  public void abandon() {
    held = null;
    tenure++;
  }

  /** Returns the lease if this VM holds it at this moment. */
  public Optional<HeldLease> lease() {
    return Optional.ofNullable(held).filter(lease -> clock.nowMs() < lease.validUntilMs());
  }

  /**
   * Returns the lease that this VM holds or held last, if nobody is known to have taken it over.
   */
  public Optional<HeldLease> unsuperseded() {
    return Optional.ofNullable(held);
  }

  /** Returns the arbiters that the row named when this VM took the lease over. */
  public List<Arbiter> inheritedArbiters() {
    return inherited;
  }

  /** Returns each set of arbiters that the row may name now. */
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

  /** Returns the name of the holder that the table showed last; empty text if none. */
  public String lastKnownHolder() {
    return seenRecord.getHolder();
  }

  /** Returns the version of the row that the table showed last; negative if none. */
  public long lastKnownVersion() {
    return seenVersion;
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
    if (pending != null
        && pending.tenure() == tenure
        && pending.record().getWriteId() == record.getWriteId()) {
      onApplied(version, pending);
      return lease().map(this::renew).orElseGet(() -> CompletableFuture.completedFuture(null));
    }
    boolean gap = clock.nowMs() - lastReadMs > timing.leaseTtlMs();
    lastReadMs = clock.nowMs();
    if (held != null && isBroken(held.validUntilMs())) {
      abandon();
    }
    HeldLease own = held;
    if (own != null && (version == own.rowVersion() || isOwn(record, own))) {
      held = own.renewed(version, own.validUntilMs());
      return write(version, record(own.epoch()));
    }
    if (version != seenVersion || gap) {
      held = null;
      noteSeen(version, record);
    }
    boolean lapsed = clock.nowMs() - seenSinceMs >= timing.leaseExpiryMs();
    if (version == TableService.ABSENT || lapsed) {
      proposed = List.copyOf(record.getArbitersList());
      return write(version, record(record.getEpoch() + 1));
    }
    return CompletableFuture.completedFuture(null);
  }

  /** Tells whether a tenure that the table confirmed last for a lease until a time has ended. */
  private boolean isBroken(long validUntilMs) {
    return clock.nowMs() - validUntilMs >= timing.termExpiryMs();
  }

  /** Tells whether a row is a renewal of ours that took effect late. */
  private boolean isOwn(LeaseRecord record, HeldLease own) {
    return record.getHolder().equals(holder)
        && record.getHolderBootId() == bootId
        && record.getEpoch() == own.epoch();
  }

  private CompletableFuture<Void> write(long expectedVersion, LeaseRecord record) {
    PendingWrite pending = new PendingWrite(record, clock.nowMs(), tenure);
    possiblyWritten.add(record.getArbitersList());
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
      unresolved = pending;
    }
    return null;
  }

  private void onApplied(long version, PendingWrite pending) {
    long validUntilMs = pending.sentMs() + timing.trustedLeaseMs();
    HeldLease lease = held;
    if (pending.tenure() != tenure) {
      return;
    }
    if (isBroken(lease == null ? validUntilMs : lease.validUntilMs())) {
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
    noteSeen(version, pending.record());
    if (lease == null || lease.epoch() != pending.record().getEpoch()) {
      acquiredListeners.forEach(Runnable::run);
    }
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
      throw new IllegalStateException("lease row " + row.key() + " cannot be read", e);
    }
  }
}
