package org.foxtailford.core.platform;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Rows with versions and conditional writes.
 *
 * <p>A failed future says nothing about whether a write took effect; callers read the row back.
 */
public interface TableService {

  /** Expected version of a row that must not exist. */
  long ABSENT = 0;

  /** Reads a row; empty if it does not exist. */
  CompletableFuture<Optional<TableRow>> read(String key);

  /**
   * Reads a row unless it still has a version that the reader knows.
   *
   * @param key name of the row
   * @param knownVersion version that the reader has
   * @return the row; empty if it does not exist or has that version
   */
  default CompletableFuture<Optional<TableRow>> readIfChanged(String key, long knownVersion) {
    return read(key).thenApply(row -> row.filter(found -> found.version() != knownVersion));
  }

  /**
   * Writes a row if its version is the expected one.
   *
   * @param key name of the row
   * @param expectedVersion version that the row must have, or {@link #ABSENT}
   * @param value new content
   */
  CompletableFuture<WriteResult> write(String key, long expectedVersion, ByteString value);
}
