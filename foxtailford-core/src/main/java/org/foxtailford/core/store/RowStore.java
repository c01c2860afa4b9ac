package org.foxtailford.core.store;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/** Tables of rows with transactions and feeds, kept by the platform. */
public interface RowStore {

  /**
   * Reads all rows of a table.
   *
   * @param timeoutMs longest time for one call, in milliseconds
   * @return fails if the store does not answer or refuses
   */
  CompletableFuture<RowPage> readAll(String table, long timeoutMs);

  /**
   * Reads what has changed in a table.
   *
   * @param afterVersion version up to which the caller knows the table
   * @param waitMs time for which the store may wait for a change, in milliseconds
   * @param timeoutMs longest time for the call, in milliseconds
   * @return fails with {@link HistoryLostException} if the store has dropped the changes
   */
  CompletableFuture<RowPage> readChanges(
      String table, long afterVersion, long waitMs, long timeoutMs);

  /**
   * Writes rows if all of them have the expected versions.
   *
   * @return version of the transaction; empty if a row had another version. Fails if the store does
   *     not answer or refuses; the write may then have been done, or be done later
   */
  CompletableFuture<OptionalLong> write(List<RowWrite> rows, long timeoutMs);
}
