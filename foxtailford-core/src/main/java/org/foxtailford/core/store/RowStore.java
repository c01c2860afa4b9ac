package org.foxtailford.core.store;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Client of the platform's tables, which offer transactions and change feeds. */
public interface RowStore {

  /**
   * Returns the latest era that the store has stated; 0 before an answer has stated one. It rises
   * when the store was restored from an older copy.
   */
  long era();

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
   * @param afterVersion version of the store up to which the caller has the table
   * @param waitMs time for which the store may wait for a change, in milliseconds
   * @param timeoutMs timeout of the call, in milliseconds
   * @return future that fails with {@link HistoryLostException} if the store no longer has the
   *     changes, or with {@link EraChangedException} if the store is in another era than {@code
   *     afterVersion}
   */
  CompletableFuture<RowPage> readChanges(
      String table, StoreVersion afterVersion, long waitMs, long timeoutMs);

  /**
   * Writes rows in one transaction if all of them have the expected versions.
   *
   * @param era era to which the expected versions belong
   * @return future of the transaction's version, empty if a row had another version; fails if the
   *     store does not answer, rejects the call or is in another era, in which case the write may
   *     have been applied or may still be applied later
   */
  CompletableFuture<Optional<StoreVersion>> write(List<RowWrite> rows, long era, long timeoutMs);
}
