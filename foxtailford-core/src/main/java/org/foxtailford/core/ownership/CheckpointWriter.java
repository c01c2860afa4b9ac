package org.foxtailford.core.ownership;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.foxtailford.core.platform.ConditionalWrites;
import org.foxtailford.core.platform.ObjectStore;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.platform.WriteResult;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.jspecify.annotations.Nullable;

/**
 * Writes the latest ownership checkpoint of a data centre to the table and, less often, to the
 * object store.
 *
 * <p>Of the checkpoints published during a write or within the minimum interval after one, only the
 * latest is written. A row that already contains a newer version is not overwritten. No other
 * operation waits for a checkpoint, because exclusive ownership is ensured by grants alone. Not
 * thread-safe: all calls and callbacks must run on the same executor.
 */
public final class CheckpointWriter implements OwnershipPublisher {

  private static final long MIN_TABLE_INTERVAL_MS = 500;
  private static final long MIN_SNAPSHOT_INTERVAL_MS = 10_000;
  private static final long UNKNOWN_VERSION = -1;

  private final String name;
  private final TableService table;
  private final ConditionalWrites writes;
  private final ObjectStore objects;
  private final MillisClock clock;
  private final LongSupplier writeIds;
  private final Executor control;

  private @Nullable OwnershipCheckpoint pendingForTable;
  private @Nullable OwnershipCheckpoint pendingForStore;
  private long rowVersion = UNKNOWN_VERSION;
  private boolean inFlight;
  private long nextTableWriteMs = Long.MIN_VALUE;
  private long nextSnapshotMs = Long.MIN_VALUE;

  /**
   * Creates a writer.
   *
   * @param dataCentre data centre whose checkpoints are written
   * @param table the table service
   * @param objects the object store
   * @param clock clock of this VM
   * @param writeIds supplies a unique ID for each write
   * @param control executor that runs all callbacks
   */
  public CheckpointWriter(
      String dataCentre,
      TableService table,
      ObjectStore objects,
      MillisClock clock,
      LongSupplier writeIds,
      Executor control) {
    this.name = CheckpointReader.rowName(dataCentre);
    this.table = Assert.notNull(table, "table");
    this.writes = new ConditionalWrites(table);
    this.objects = Assert.notNull(objects, "objects");
    this.clock = Assert.notNull(clock, "clock");
    this.writeIds = Assert.notNull(writeIds, "writeIds");
    this.control = Assert.notNull(control, "control");
  }

  @Override
  public void publish(OwnershipCheckpoint checkpoint) {
    pendingForTable = checkpoint;
    pendingForStore = checkpoint;
    tick();
  }

  /** Starts the writes that are due. Must be called once per renewal interval. */
  public void tick() {
    long nowMs = clock.nowMs();
    OwnershipCheckpoint snapshot = pendingForStore;
    if (snapshot != null && nowMs >= nextSnapshotMs) {
      nextSnapshotMs = nowMs + MIN_SNAPSHOT_INTERVAL_MS;
      objects
          .put(name, snapshot.toByteString())
          .whenCompleteAsync((done, failure) -> onSnapshotStored(snapshot, failure), control);
    }
    OwnershipCheckpoint next = pendingForTable;
    if (next != null && !inFlight && nowMs >= nextTableWriteMs) {
      inFlight = true;
      nextTableWriteMs = nowMs + MIN_TABLE_INTERVAL_MS;
      writeToTable(next).whenCompleteAsync((done, failure) -> onTableWriteDone(failure), control);
    }
  }

  private void onSnapshotStored(OwnershipCheckpoint snapshot, @Nullable Throwable failure) {
    if (failure == null && pendingForStore == snapshot) {
      pendingForStore = null;
    }
  }

  private void onTableWriteDone(@Nullable Throwable failure) {
    inFlight = false;
    if (failure != null) {
      rowVersion = UNKNOWN_VERSION;
    }
  }

  private CompletableFuture<Void> writeToTable(OwnershipCheckpoint next) {
    if (rowVersion != UNKNOWN_VERSION) {
      return write(next);
    }
    return table.read(name).thenComposeAsync(row -> writeIfNewer(row, next), control);
  }

  private CompletableFuture<Void> writeIfNewer(Optional<TableRow> row, OwnershipCheckpoint next) {
    rowVersion = row.map(TableRow::version).orElse(TableService.ABSENT);
    Fence stored =
        row.map(CheckpointReader::parse).map(CheckpointReader::version).orElse(Fence.NONE);
    if (stored.compareTo(CheckpointReader.version(next)) >= 0) {
      clearPending(next);
      return CompletableFuture.completedFuture(null);
    }
    return write(next);
  }

  private CompletableFuture<Void> write(OwnershipCheckpoint next) {
    OwnershipCheckpoint value = next.toBuilder().setWriteId(writeIds.getAsLong()).build();
    return writes
        .write(name, rowVersion, value.toByteString())
        .thenAcceptAsync(result -> onWritten(next, result), control);
  }

  private void onWritten(OwnershipCheckpoint next, WriteResult result) {
    if (result.applied()) {
      rowVersion = result.version();
      clearPending(next);
    } else {
      rowVersion = UNKNOWN_VERSION;
    }
  }

  private void clearPending(OwnershipCheckpoint written) {
    if (pendingForTable == written) {
      pendingForTable = null;
    }
  }
}
