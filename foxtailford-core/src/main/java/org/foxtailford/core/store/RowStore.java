package org.foxtailford.core.store;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's tables, which offer transactions and change feeds. */
public interface RowStore {

  /**
   * Reads all rows of a table.
   *
   * @param timeoutMs timeout of each call, in milliseconds
   * @return future that fails if the store does not answer or rejects the call
   */
  CompletableFuture<RowPage> readAll(String table, long timeoutMs);

  /**
   * Reads the changes of a table.
   *
   * @param afterVersion store version up to which the caller has the table
   * @param waitMs time for which the store may wait for a change, in milliseconds
   * @param timeoutMs timeout of the call, in milliseconds
   * @return future that fails with {@link HistoryLostException} if the store no longer has the
   *     changes
   */
  CompletableFuture<RowPage> readChanges(
      String table, long afterVersion, long waitMs, long timeoutMs);

  /**
   * Writes rows in one transaction if all of them have the expected versions.
   *
   * @return future of the transaction's version, empty if a row had another version; fails if the
   *     store does not answer or rejects the call, in which case the write may have been applied or
   *     may still be applied later
   */
  CompletableFuture<OptionalLong> write(List<RowWrite> rows, long timeoutMs);
}
