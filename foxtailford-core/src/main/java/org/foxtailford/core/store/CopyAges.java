package org.foxtailford.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Times as of which the copies of the store's tables are known to be complete. Each table has its
 * own: reads of one may fail while those of another succeed. Not thread-safe.
 */
public final class CopyAges {

  private final MillisClock clock;
  private final Map<String, Long> completeAsOfMs = new HashMap<>();

  /**
   * Creates ages that are all unknown.
   *
   * @param clock clock that advances while the process is paused, since the store's tables go on
   *     changing
   */
  public CopyAges(MillisClock clock) {
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Returns the present, in milliseconds of the clock by which the ages are measured. */
  public long nowMs() {
    return clock.nowMs();
  }

  /** Records that a copy contains everything that was written up to a time, in milliseconds. */
  public void record(String table, long asOfMs) {
    completeAsOfMs.merge(Assert.hasLength(table, "table"), asOfMs, Math::max);
  }

  /** Returns the age of a copy, in milliseconds; empty if the copy was never complete. */
  public OptionalLong ageMs(String table) {
    Long asOfMs = completeAsOfMs.get(table);
    return asOfMs == null
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, clock.nowMs() - asOfMs));
  }

  /** Returns whether a copy is older than a given age, in milliseconds, or was never complete. */
  public boolean isOlderThan(String table, long maxAgeMs) {
    return ageMs(table).orElse(Long.MAX_VALUE) > maxAgeMs;
  }
}
