package org.foxtailford.core.range;

import java.util.OptionalLong;

/**
 * Until when anyone before a leader may have granted keys, or may still do so.
 *
 * <p>A leader that can't confirm its leadership renews its grants for {@link
 * LeadershipTiming#GRANT_RENEWAL_WINDOW_MS} more. This holds for every leader before, not only for
 * the last: the last one may have ended while the one before it is cut off and still renews. So
 * each leader states in its records how much of that time is left, and whoever takes over from an
 * earlier incarnation of itself goes on from there.
 *
 * @param untilMs latest time as of which anyone before can plan a grant, in milliseconds by the
 *     clock of the new leader; it is sent within the timeout of a grant
 */
public record EarlierGrants(long untilMs) {

  /** Returns that nobody can have granted keys before. */
  public static EarlierGrants none(long nowMs) {
    return new EarlierGrants(nowMs);
  }

  /**
   * Returns what holds after a takeover from another VM, which may go on without noticing it.
   *
   * @param acquiredMs when the takeover was confirmed, in milliseconds; the last confirmation of
   *     every leader before is older
   */
  public static EarlierGrants afterTakeover(long acquiredMs) {
    return new EarlierGrants(acquiredMs + LeadershipTiming.GRANT_RENEWAL_WINDOW_MS);
  }

  /**
   * Returns what holds after an earlier incarnation of the same VM, which has ended.
   *
   * @param statedLeftMs what the earlier incarnation stated last, in milliseconds; empty if it
   *     stated nothing
   * @param readMs when that was read, in milliseconds; it was stated at this time or before
   */
  public static EarlierGrants afterEarlierIncarnation(OptionalLong statedLeftMs, long readMs) {
    long windowMs = LeadershipTiming.GRANT_RENEWAL_WINDOW_MS;
    long leftMs = statedLeftMs.orElse(windowMs);
    boolean plausible = 0 <= leftMs && leftMs <= windowMs;
    return new EarlierGrants(readMs + (plausible ? leftMs : windowMs));
  }

  /** Returns for how much longer anyone before can plan a grant, in milliseconds. */
  public long leftMs(long nowMs) {
    return Math.max(0, untilMs - nowMs);
  }

  /** Returns the latest time until which an earlier grant may be in force, in milliseconds. */
  public long latestExpiryMs(RangeTiming timing) {
    return timing.latestExpiryMs(untilMs + timing.callTimeoutMs());
  }
}
