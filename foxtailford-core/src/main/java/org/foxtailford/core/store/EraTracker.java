package org.foxtailford.core.store;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.util.Assert;

/**
 * Tracks the era of the store from its answers. Thread-safe.
 *
 * <p>An answer that states no era, or an impossible one, belongs to the latest era seen: it begins
 * no new one.
 */
public final class EraTracker {

  /** Highest era that is believed; the store rises by one each time it is restored. */
  static final long MAX_ERA = 1_000_000;

  private final AtomicLong latestEra = new AtomicLong();

  /** Returns the latest era seen; 0 before an answer has stated one. */
  public long era() {
    return latestEra.get();
  }

  /**
   * Records the era of an answer and returns it.
   *
   * @param stated era that the answer states; empty if it is missing or unreadable
   * @throws EraChangedException if a later era was seen before, so that the answer is outdated
   */
  public long observe(OptionalLong stated) {
    Assert.notNull(stated, "stated");
    boolean readable =
        stated.isPresent() && stated.getAsLong() >= 0 && stated.getAsLong() <= MAX_ERA;
    long answeredEra = readable ? stated.getAsLong() : latestEra.get();
    long latest = latestEra.accumulateAndGet(answeredEra, Math::max);
    if (answeredEra < latest) {
      throw new EraChangedException(latest, answeredEra);
    }
    return answeredEra;
  }
}
