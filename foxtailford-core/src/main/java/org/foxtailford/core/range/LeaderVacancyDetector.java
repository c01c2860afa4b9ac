package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Decides when an entry VM may take the leader's seat.
 *
 * <p>A seat is vacant if it was never taken, if it is held by an earlier life of this VM, if
 * nothing listens where its holder did, or if it was not renewed for {@link
 * LeadershipTiming#VACANCY_TIMEOUT_MS} of looks. Each VM adds a delay of its own, so that not all
 * try at once. Not thread-safe.
 */
public final class LeaderVacancyDetector {

  private final long delayMs;
  private long term = -1;
  private long renewal = -1;
  private long unchangedSinceMs;

  /** Creates a detector that adds a delay, in milliseconds. */
  public LeaderVacancyDetector(long delayMs) {
    Assert.isTrue(delayMs >= 0, "delayMs must not be negative");
    this.delayMs = delayMs;
  }

  /**
   * Takes a look at the seat.
   *
   * @param seenTerm term of its holder; 0 if it was never taken
   * @param seenRenewal version of its last renewal
   * @param holderIsPastSelf whether an earlier life of this VM holds it
   * @param nobodyListens whether nothing listens where the holder did
   * @return whether it may be taken now
   */
  public boolean observe(
      long seenTerm,
      long seenRenewal,
      boolean holderIsPastSelf,
      boolean nobodyListens,
      long nowMs) {
    if (seenTerm != term || seenRenewal != renewal) {
      term = seenTerm;
      renewal = seenRenewal;
      unchangedSinceMs = nowMs;
    }
    if (holderIsPastSelf) {
      return true;
    }
    boolean surelyVacant = seenTerm == 0 || nobodyListens;
    long needed = (surelyVacant ? 0 : LeadershipTiming.VACANCY_TIMEOUT_MS) + delayMs;
    return nowMs - unchangedSinceMs >= needed;
  }

  /** Forgets what was seen, once the leader is heard of again. */
  public void reset() {
    term = -1;
    renewal = -1;
  }
}
