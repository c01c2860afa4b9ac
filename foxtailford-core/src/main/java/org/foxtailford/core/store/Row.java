package org.foxtailford.core.store;

import org.foxtailford.core.util.Assert;

/**
 * Row of a table, or the tombstone of a removed row.
 *
 * @param key key within the table
 * @param value content; empty if removed
 * @param version version of the store at which the row was written or removed
 * @param deleted whether the row was removed
 */
@SuppressWarnings("ArrayRecordComponent")
public record Row(String key, byte[] value, StoreVersion version, boolean deleted) {

  /** Checks that key, value and version are present. */
  public Row {
    Assert.notNull(key, "key");
    Assert.notNull(value, "value");
    Assert.notNull(version, "version");
  }
}
