package org.foxtailford.core.ownership;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.foxtailford.core.platform.ObjectStore;
import org.foxtailford.core.platform.TableRow;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.OwnershipCheckpoint;

/**
 * Loads the ownership checkpoint of a data centre when an entry VM starts, from the table, the
 * object store or both.
 */
public final class CheckpointReader {

  private final TableService table;
  private final ObjectStore objects;

  public CheckpointReader(TableService table, ObjectStore objects) {
    this.table = Assert.notNull(table, "table");
    this.objects = Assert.notNull(objects, "objects");
  }

  /**
   * Returns the newer of the checkpoints in the table and in the object store. If only one of them
   * answers, its checkpoint is returned; if neither does, the future completes exceptionally.
   *
   * @return the checkpoint; empty if none was written yet
   */
  public CompletableFuture<Optional<OwnershipCheckpoint>> load(String dataCentre) {
    String name = rowName(dataCentre);
    CompletableFuture<Optional<OwnershipCheckpoint>> row =
        table.read(name).thenApply(found -> found.map(CheckpointReader::parse));
    CompletableFuture<Optional<OwnershipCheckpoint>> object =
        objects.get(name).thenApply(found -> found.map(CheckpointReader::parse));
    return row.handle((fromRow, failure) -> failure == null)
        .thenCompose(rowAnswered -> rowAnswered ? newestOf(row, object) : object);
  }

  private static CompletableFuture<Optional<OwnershipCheckpoint>> newestOf(
      CompletableFuture<Optional<OwnershipCheckpoint>> row,
      CompletableFuture<Optional<OwnershipCheckpoint>> object) {
    return object
        .exceptionally(failure -> Optional.empty())
        .thenCombine(row, CheckpointReader::newest);
  }

  private static Optional<OwnershipCheckpoint> newest(
      Optional<OwnershipCheckpoint> first, Optional<OwnershipCheckpoint> second) {
    return Stream.of(first, second)
        .flatMap(Optional::stream)
        .max(Comparator.comparing(CheckpointReader::version));
  }

  static String rowName(String dataCentre) {
    return "owners-" + Assert.hasLength(dataCentre, "dataCentre");
  }

  static Fence version(OwnershipCheckpoint checkpoint) {
    return new Fence(checkpoint.getEpoch(), checkpoint.getSequence());
  }

  static OwnershipCheckpoint parse(TableRow row) {
    return parse(row.value());
  }

  private static OwnershipCheckpoint parse(ByteString value) {
    try {
      return OwnershipCheckpoint.parseFrom(value);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException("checkpoint is not a valid OwnershipCheckpoint", e);
    }
  }
}
