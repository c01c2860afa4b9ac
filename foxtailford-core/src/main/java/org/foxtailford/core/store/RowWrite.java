package org.foxtailford.core.store;

import org.foxtailford.core.util.Assert;

/**
 * Write, removal or version check of one row within a transaction.
 *
 * @param table name of the table
 * @param key key within the table
 * @param expectedVersion number of the version that the row must have, in the era of the call; 0 if
 *     it must not exist, negative for any
 * @param value new content; ignored unless the row is written
 * @param action what is done with the row
 */
@SuppressWarnings("ArrayRecordComponent")
public record RowWrite(
    String table, String key, long expectedVersion, byte[] value, Action action) {

  /** What a transaction does with a row whose version is as expected. */
  public enum Action {
    /** Nothing. */
    CHECK,
    /** Replaces its content. */
    WRITE,
    /** Removes it. */
    REMOVE
  }

  /** Validates the fields. */
  public RowWrite {
    Assert.hasLength(table, "table");
    Assert.hasLength(key, "key");
    Assert.notNull(value, "value");
    Assert.notNull(action, "action");
  }

  /** Returns a write that requires the row to have the expected version. */
  public static RowWrite put(String table, String key, long expectedVersion, byte[] value) {
    return new RowWrite(table, key, expectedVersion, value, Action.WRITE);
  }

  /** Returns a version check without a write. */
  public static RowWrite expect(String table, String key, long expectedVersion) {
    return new RowWrite(table, key, expectedVersion, new byte[0], Action.CHECK);
  }

  /** Returns a removal, whatever version the row has. */
  public static RowWrite remove(String table, String key) {
    return new RowWrite(table, key, -1, new byte[0], Action.REMOVE);
  }
}
