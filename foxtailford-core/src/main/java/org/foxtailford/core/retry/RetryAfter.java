package org.foxtailford.core.retry;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;

/**
 * Suggests to callers how long to wait before a retry, with jitter so that refused callers don't
 * retry at the same time.
 *
 * <p>Thread-safe if its random generator is.
 */
public final class RetryAfter {

  private static final long OVERLOAD_DELAY_MS = 1000;
  private static final long OWNERSHIP_DELAY_MS = 300;

  private final RandomGenerator random;

  public RetryAfter(RandomGenerator random) {
    this.random = Assert.notNull(random, "random");
  }

  /**
   * Returns the suggested delay before a retry.
   *
   * @param code result returned to the caller
   * @return delay in milliseconds; empty if the request may have run or a retry would not help
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
        return Optional.of(withJitter(OVERLOAD_DELAY_MS));
      case NO_OWNER:
      case OWNERSHIP_CHANGED:
      case RECORDS_UNREACHABLE:
      case NOT_READY:
        return Optional.of(withJitter(OWNERSHIP_DELAY_MS));
      case STOPPING:
        return Optional.of(0L);
      default:
        return Optional.empty();
    }
  }

  private long withJitter(long baseMs) {
    return baseMs / 2 + random.nextLong(baseMs);
  }
}
