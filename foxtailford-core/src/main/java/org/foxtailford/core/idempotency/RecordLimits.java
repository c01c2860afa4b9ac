package org.foxtailford.core.idempotency;

import org.foxtailford.core.util.Assert;

/**
 * Bounds of the records that one entry VM holds.
 *
 * @param ttlMs time after its last change for which a record is kept, in milliseconds
 * @param maxRecords most records
 * @param maxAnswerBytes largest answer that is kept, in bytes
 * @param maxTotalAnswerBytes most bytes of kept answers
 */
public record RecordLimits(
    long ttlMs, int maxRecords, int maxAnswerBytes, long maxTotalAnswerBytes) {

  /** Limits for small VMs: 20 minutes, 200,000 records, 16 MiB of answers. */
  public static final RecordLimits DEFAULT =
      new RecordLimits(20 * 60_000L, 200_000, 64 << 10, 16L << 20);

  public RecordLimits {
    Assert.isTrue(ttlMs > 0 && maxRecords > 0, "times and counts must be positive");
  }

  /** Returns the longest time that one run may take, in milliseconds. */
  public long maxRunMs() {
    return ttlMs / 2;
  }
}
