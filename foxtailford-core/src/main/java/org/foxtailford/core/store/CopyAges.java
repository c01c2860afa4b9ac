package org.foxtailford.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.foxtailford.core.util.Assert;

/**
 * Times as of which the copies of the store's tables are known to be complete. Each table has its
 * own: reads of one may fail while those of another succeed. Not thread-safe.
 */
public final class CopyAges {

  private final Map<String, Long> completeAsOfMs = new HashMap<>();

  /** Records that a copy contains everything that was written up to a time, in milliseconds. */
  public void record(String table, long asOfMs) {
    completeAsOfMs.merge(Assert.hasLength(table, "table"), asOfMs, Math::max);
  }

  /** Returns the age of a copy, in milliseconds; empty if the copy was never complete. */
  public OptionalLong ageMs(String table, long nowMs) {
    Long asOfMs = completeAsOfMs.get(table);
    return asOfMs == null ? OptionalLong.empty() : OptionalLong.of(Math.max(0, nowMs - asOfMs));
  }
}
