package org.foxtailford.core.store;

import org.foxtailford.core.util.Assert;

/**
 * One row of a table, or the mark that it was removed.
 *
 * @param key key within the table
 * @param value content; empty if removed
 * @param version version of the store at which the row was written or removed
 * @param deleted whether the row was removed
 */
@SuppressWarnings("ArrayRecordComponent")
public record Row(String key, byte[] value, long version, boolean deleted) {

  /** Checks the fields. */
  public Row {
    Assert.notNull(key, "key");
    Assert.notNull(value, "value");
  }
}
