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
 * Writes the newest owners of a data centre to the table, and more rarely to the object store.
 *
 * <p>Versions that arrive while a write is under way or too soon after one are merged into the
 * newest. A row that holds a newer version is left alone. Nothing waits for a checkpoint: sole
 * ownership rests on grants. Not thread-safe: all calls and callbacks run on one executor.
 */
public final class CheckpointWriter implements OwnershipPublisher {

  private static final long TABLE_INTERVAL_MS = 500;
  private static final long SNAPSHOT_INTERVAL_MS = 10_000;
  private static final long UNKNOWN_VERSION = -1;

  private final String name;
  private final TableService table;
  private final ConditionalWrites writes;
  private final ObjectStore objects;
  private final MillisClock clock;
  private final LongSupplier writeIds;
  private final Executor control;

  private @Nullable OwnershipCheckpoint unwritten;
  private @Nullable OwnershipCheckpoint unsaved;
  private long rowVersion = UNKNOWN_VERSION;
  private boolean inFlight;
  private long tableNotBeforeMs = Long.MIN_VALUE;
  private long snapshotNotBeforeMs = Long.MIN_VALUE;

  /**
   * Creates a writer.
   *
   * @param dataCentre data centre of the owners
   * @param table the table service
   * @param objects the object store
   * @param clock clock of this VM
   * @param writeIds gives a number never given before
   * @param control executor of all callbacks
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
    unwritten = checkpoint;
    unsaved = checkpoint;
    tick();
  }

  /** Writes what is due. Called at every renewal interval. */
  public void tick() {
    long nowMs = clock.nowMs();
    OwnershipCheckpoint snapshot = unsaved;
    if (snapshot != null && nowMs >= snapshotNotBeforeMs) {
      snapshotNotBeforeMs = nowMs + SNAPSHOT_INTERVAL_MS;
      objects
          .put(name, snapshot.toByteString())
          .whenCompleteAsync((done, failure) -> onSaved(snapshot, failure), control);
    }
    OwnershipCheckpoint next = unwritten;
    if (next != null && !inFlight && nowMs >= tableNotBeforeMs) {
      inFlight = true;
      tableNotBeforeMs = nowMs + TABLE_INTERVAL_MS;
      step(next).whenCompleteAsync((done, failure) -> onStepped(failure), control);
    }
  }

  private void onSaved(OwnershipCheckpoint snapshot, @Nullable Throwable failure) {
    if (failure == null && unsaved == snapshot) {
      unsaved = null;
    }
  }

  private void onStepped(@Nullable Throwable failure) {
    inFlight = false;
    if (failure != null) {
      rowVersion = UNKNOWN_VERSION;
    }
  }

  private CompletableFuture<Void> step(OwnershipCheckpoint next) {
    if (rowVersion != UNKNOWN_VERSION) {
      return write(next);
    }
    return table.read(name).thenComposeAsync(row -> writeOver(row, next), control);
  }

  private CompletableFuture<Void> writeOver(Optional<TableRow> row, OwnershipCheckpoint next) {
    rowVersion = row.map(TableRow::version).orElse(TableService.ABSENT);
    Fence stored =
        row.map(CheckpointReader::parse).map(CheckpointReader::version).orElse(Fence.NONE);
    if (stored.compareTo(CheckpointReader.version(next)) >= 0) {
      forget(next);
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
      forget(next);
    } else {
      rowVersion = UNKNOWN_VERSION;
    }
  }

  private void forget(OwnershipCheckpoint written) {
    if (unwritten == written) {
      unwritten = null;
    }
  }
}
