package org.foxtailford.core.store;

import org.foxtailford.core.util.Assert;

/**
 * One row of a transaction.
 *
 * @param table table
 * @param key key within the table
 * @param expectedVersion version that the row must have; 0 for none, negative for any
 * @param value new content; ignored if {@code write} is false
 * @param write whether the row is written, or only compared
 */
@SuppressWarnings("ArrayRecordComponent")
public record RowWrite(
    String table, String key, long expectedVersion, byte[] value, boolean write) {

  /** Checks the fields. */
  public RowWrite {
    Assert.hasLength(table, "table");
    Assert.hasLength(key, "key");
    Assert.notNull(value, "value");
  }

  /** Returns a write that holds only if the row has a version. */
  public static RowWrite put(String table, String key, long expectedVersion, byte[] value) {
    return new RowWrite(table, key, expectedVersion, value, true);
  }

  /** Returns a comparison without a write. */
  public static RowWrite expect(String table, String key, long expectedVersion) {
    return new RowWrite(table, key, expectedVersion, new byte[0], false);
  }
}
