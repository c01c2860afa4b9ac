package org.foxtailford.core.platform;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.util.Assert;

/** Resolves conditional writes whose answer was lost. Thread-safe. */
public final class ConditionalWrites {

  private final TableService table;

  public ConditionalWrites(TableService table) {
    this.table = Assert.notNull(table, "table");
  }

  /**
   * Writes a row and, if the answer is lost, reads it back.
   *
   * @param key name of the row
   * @param expectedVersion version that the row must have
   * @param value new content, different from every other write's (it carries a write id)
   * @return whether the write took effect; fails if that cannot be found out
   */
  public CompletableFuture<WriteResult> write(String key, long expectedVersion, ByteString value) {
    return table
        .write(key, expectedVersion, value)
        .handle(
            (result, failure) ->
                failure == null
                    ? CompletableFuture.completedFuture(result)
                    : table.read(key).thenApply(row -> resolve(row, value)))
        .thenCompose(resolved -> resolved);
  }

  private static WriteResult resolve(Optional<TableRow> row, ByteString value) {
    long version = row.map(TableRow::version).orElse(TableService.ABSENT);
    boolean applied = row.filter(found -> found.value().equals(value)).isPresent();
    return new WriteResult(applied, version);
  }
}
