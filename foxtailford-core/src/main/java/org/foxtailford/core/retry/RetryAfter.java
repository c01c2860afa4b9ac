package org.foxtailford.core.retry;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;

/**
 * Tells callers when to come back after a refusal, spread so that they do not come back together.
 *
 * <p>Thread-safe if its source of random numbers is.
 */
public final class RetryAfter {

  private static final long OVERLOAD_MS = 1000;
  private static final long OWNERSHIP_MS = 300;

  private final RandomGenerator random;

  public RetryAfter(RandomGenerator random) {
    this.random = Assert.notNull(random, "random");
  }

  /**
   * Returns the wait to suggest.
   *
   * @param code result that the caller is told
   * @return the wait in milliseconds; empty if sending the same request again would not help
   */
  public Optional<Long> suggest(ResultCode code) {
    if (code.effect() != Effect.NOT_RUN) {
      return Optional.empty();
    }
    switch (code) {
      case OVERLOADED:
      case UPSTREAM_SHED:
      case UPSTREAM_COLD:
      case NO_UPSTREAM:
      case HOME_UNREACHABLE:
      case UPSTREAM_UNREACHABLE:
        return Optional.of(spread(OVERLOAD_MS));
      case NO_OWNER:
      case OWNERSHIP_CHANGED:
      case RECORDS_UNREACHABLE:
      case NOT_READY:
        return Optional.of(spread(OWNERSHIP_MS));
      case STOPPING:
        return Optional.of(0L);
      default:
        return Optional.empty();
    }
  }

  private long spread(long baseMs) {
    return baseMs / 2 + random.nextLong(baseMs);
  }
}
