package org.foxtailford.core.idempotency;

import org.foxtailford.core.util.Assert;

/**
 * Limits on the records held by one entry VM.
 *
 * @param ttlMs time for which a record is kept after its last change, in milliseconds; positive
 * @param maxRecords maximum number of records; positive
 * @param maxAnswerBytes maximum size of a kept answer, in bytes; larger answers are not kept
 * @param maxTotalAnswerBytes maximum total size of kept answers, in bytes
 */
public record RecordLimits(
    long ttlMs, int maxRecords, int maxAnswerBytes, long maxTotalAnswerBytes) {

  /** Limits for small VMs: 20 minutes, 200,000 records, 16 MiB of answers. */
  public static final RecordLimits DEFAULT =
      new RecordLimits(20 * 60_000L, 200_000, 64 << 10, 16L << 20);

  public RecordLimits {
    Assert.isTrue(ttlMs > 0 && maxRecords > 0, "ttlMs and maxRecords must be positive");
  }

  /**
   * Returns the maximum duration of one run, in milliseconds: half of the TTL, so that a record
   * doesn't expire during the run.
   */
  public long maxRunMs() {
    return ttlMs / 2;
  }
}
