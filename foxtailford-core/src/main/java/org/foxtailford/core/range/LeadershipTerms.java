package org.foxtailford.core.range;

import org.foxtailford.core.util.Assert;

/**
 * Numbers the terms of leadership and the fences of each term.
 *
 * <p>Terms and fences contain the era of the store: a store that is restored from an older copy may
 * have lost the record of a term, but all terms of the new era are higher. Fences stay below 2^53,
 * the largest integer that every JSON reader keeps exact, for 9,000 eras.
 */
public final class LeadershipTerms {

  /** Number of terms reserved for each era; one a second for over eleven days. */
  private static final long TERMS_PER_ERA = 1_000_000;

  /** Number of fences reserved for each term; no leader issues as many. */
  private static final long FENCES_PER_TERM = 1_000_000;

  private LeadershipTerms() {}

  /**
   * Returns a term above all that are known.
   *
   * @param era current era of the store
   * @param storedTerm term in the leader record; 0 if there is none
   * @param knownTerm highest term that this process has seen
   */
  public static long next(long era, long storedTerm, long knownTerm) {
    Assert.isTrue(era >= 0, "era must not be negative");
    return Math.max(era * TERMS_PER_ERA, Math.max(storedTerm, knownTerm)) + 1;
  }

  /** Returns the era in which a term began. */
  public static long era(long term) {
    return term / TERMS_PER_ERA;
  }

  /** Returns the fence with a given number, counted from 1 within its term. */
  public static long fence(long term, long number) {
    return term * FENCES_PER_TERM + number;
  }

  /** Returns the term in which a fence was issued. */
  public static long termOf(long fence) {
    return fence / FENCES_PER_TERM;
  }
}
