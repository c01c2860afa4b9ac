package org.foxtailford.core.platform;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.util.Assert;

/** Makes conditional writes and determines the result of those that failed. Thread-safe. */
public final class ConditionalWrites {

  private final TableService table;

  public ConditionalWrites(TableService table) {
    this.table = Assert.notNull(table, "table");
  }

  /**
   * Writes a row and, if the write fails with an unknown result, reads the row back.
   *
   * @param key name of the row
   * @param expectedVersion version that the row must have
   * @param value new content, which must differ from that of every other write (it carries a write
   *     id)
   * @return whether the write took effect; fails if reading the row back fails too
   */
  public CompletableFuture<WriteResult> write(String key, long expectedVersion, ByteString value) {
    return table
        .write(key, expectedVersion, value)
        .handle(
            (result, failure) ->
                failure == null
                    ? CompletableFuture.completedFuture(result)
                    : table.read(key).thenApply(row -> resolve(row, value)))
        .thenCompose(outcome -> outcome);
  }

  private static WriteResult resolve(Optional<TableRow> row, ByteString value) {
    long version = row.map(TableRow::version).orElse(TableService.ABSENT);
    boolean applied = row.filter(current -> current.value().equals(value)).isPresent();
    return new WriteResult(applied, version);
  }
}
