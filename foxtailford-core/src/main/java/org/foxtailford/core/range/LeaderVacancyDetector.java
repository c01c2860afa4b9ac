package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Decides when an entry VM may take over the leadership.
 *
 * <p>The leadership is vacant if it was never taken, if an earlier incarnation of this VM holds it,
 * if no process listens at its holder's address, or if observations over {@link
 * LeadershipTiming#VACANCY_TIMEOUT_MS} show no renewal. Each VM adds its own delay, so that they
 * don't all try at once. Not thread-safe.
 */
public final class LeaderVacancyDetector {

  private final long delayMs;
  private long term = -1;
  private long renewal = -1;
  private long unchangedSinceMs;

  /** Creates a detector with a delay before a takeover, in milliseconds; not negative. */
  public LeaderVacancyDetector(long delayMs) {
    Assert.isTrue(delayMs >= 0, "delayMs must not be negative");
    this.delayMs = delayMs;
  }

  /**
   * Records an observation of the leader record and returns whether it shows a vacancy.
   *
   * @param observedTerm term of the leader; 0 if the leadership was never taken
   * @param observedRenewal version of the last renewal
   * @param heldByPreviousIncarnation whether an earlier incarnation of this VM holds the
   *     leadership; it is then taken over without a delay
   * @param noListener whether no process listens at the holder's address
   * @param nowMs current time, in milliseconds
   * @return whether this VM may take over the leadership now
   */
  public boolean observe(
      long observedTerm,
      long observedRenewal,
      boolean heldByPreviousIncarnation,
      boolean noListener,
      long nowMs) {
    if (observedTerm != term || observedRenewal != renewal) {
      term = observedTerm;
      renewal = observedRenewal;
      unchangedSinceMs = nowMs;
    }
    if (heldByPreviousIncarnation) {
      return true;
    }
    boolean knownVacant = observedTerm == 0 || noListener;
    long requiredMs = (knownVacant ? 0 : LeadershipTiming.VACANCY_TIMEOUT_MS) + delayMs;
    return nowMs - unchangedSinceMs >= requiredMs;
  }

  /** Discards all observations; to be called when the leader has sent a message again. */
  public void reset() {
    term = -1;
    renewal = -1;
  }
}
