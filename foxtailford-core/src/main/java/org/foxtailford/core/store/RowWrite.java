package org.foxtailford.core.store;

import org.foxtailford.core.util.Assert;

/**
 * Write or version check of one row within a transaction.
 *
 * @param table name of the table
 * @param key key within the table
 * @param expectedVersion number of the version that the row must have, in the era of the call; 0 if
 *     it must not exist, negative for any
 * @param value new content; ignored if {@code write} is false
 * @param write whether the row is written, or only its version checked
 */
@SuppressWarnings("ArrayRecordComponent")
public record RowWrite(
    String table, String key, long expectedVersion, byte[] value, boolean write) {

  /** Validates the fields. */
  public RowWrite {
    Assert.hasLength(table, "table");
    Assert.hasLength(key, "key");
    Assert.notNull(value, "value");
  }

  /** Returns a write that requires the row to have the expected version. */
  public static RowWrite put(String table, String key, long expectedVersion, byte[] value) {
    return new RowWrite(table, key, expectedVersion, value, true);
  }

  /** Returns a version check without a write. */
  public static RowWrite expect(String table, String key, long expectedVersion) {
    return new RowWrite(table, key, expectedVersion, new byte[0], false);
  }
}
