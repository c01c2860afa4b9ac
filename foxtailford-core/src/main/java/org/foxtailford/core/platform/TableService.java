package org.foxtailford.core.platform;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Table of versioned rows with conditional writes.
 *
 * <p>A write whose future failed may have taken effect; callers read the row back.
 */
public interface TableService {

  /** Expected version for a row that must not exist. */
  long ABSENT = 0;

  /** Reads a row; empty if it does not exist. */
  CompletableFuture<Optional<TableRow>> read(String key);

  /**
   * Reads a row unless it still has the version that the caller knows.
   *
   * @param key name of the row
   * @param knownVersion version that the caller knows
   * @return the row; empty if it does not exist or has that version
   */
  default CompletableFuture<Optional<TableRow>> readIfChanged(String key, long knownVersion) {
    return read(key).thenApply(row -> row.filter(current -> current.version() != knownVersion));
  }

  /**
   * Writes a row if its version is the expected one.
   *
   * @param key name of the row
   * @param expectedVersion version that the row must have, or {@link #ABSENT}
   * @param value new content
   * @return whether the write took effect; fails if that is not known
   */
  CompletableFuture<WriteResult> write(String key, long expectedVersion, ByteString value);
}
