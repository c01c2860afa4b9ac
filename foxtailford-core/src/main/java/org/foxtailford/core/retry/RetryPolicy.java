package org.foxtailford.core.retry;

import java.util.EnumSet;
import java.util.Set;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;

/**
 * Decides whether a failed attempt is retried.
 *
 * <p>An attempt that provably did not run may be retried. One that may have run is retried only if
 * the request is idempotent, and at most once: a poison request would otherwise crash an upstream
 * with each attempt before the first loss is detected. A keyed request has a single owner, so a
 * rejection for lack of capacity is final: a retry would go to the same upstream at once.
 * Thread-safe.
 */
public final class RetryPolicy {

  private static final Set<ResultCode> NOT_RUN_RETRYABLE =
      EnumSet.of(
          ResultCode.UPSTREAM_UNREACHABLE,
          ResultCode.UPSTREAM_SHED,
          ResultCode.UPSTREAM_COLD,
          ResultCode.NO_UPSTREAM,
          ResultCode.OWNERSHIP_CHANGED);
  private static final Set<ResultCode> KEYED_RETRYABLE =
      EnumSet.of(
          ResultCode.UPSTREAM_UNREACHABLE,
          ResultCode.OWNERSHIP_CHANGED,
          ResultCode.OUTCOME_UNKNOWN,
          ResultCode.TRUNCATED_ANSWER);
  private static final Set<ResultCode> IDEMPOTENT_RETRYABLE =
      EnumSet.of(ResultCode.OUTCOME_UNKNOWN, ResultCode.TRUNCATED_ANSWER);

  private static final int MAX_POSSIBLY_RUN_ATTEMPTS = 2;

  private final int maxAttempts;
  private final long minRemainingMs;
  private final RetryBudget budget;

  /**
   * Creates a policy.
   *
   * @param maxAttempts maximum number of attempts of one request, including the first; positive
   * @param minRemainingMs minimum time left before the deadline for a retry, in milliseconds
   * @param budget supplies a token for each retry
   */
  public RetryPolicy(int maxAttempts, long minRemainingMs, RetryBudget budget) {
    Assert.isTrue(maxAttempts > 0, "maxAttempts must be positive");
    this.maxAttempts = maxAttempts;
    this.minRemainingMs = minRemainingMs;
    this.budget = Assert.notNull(budget, "budget");
  }

  /**
   * Decides whether to retry a failed attempt. A token of the budget has been taken if the verdict
   * is {@link RetryVerdict#RETRY}.
   *
   * @param failed attempt that failed
   * @param nowMs current time by this VM's clock, in milliseconds
   */
  public RetryVerdict decide(FailedAttempt failed, long nowMs) {
    if (!isRetryable(failed)) {
      return RetryVerdict.NOT_RETRYABLE;
    }
    if (failed.attempts() >= maxAttempts(failed.code())) {
      return RetryVerdict.ATTEMPTS_USED;
    }
    if (failed.remainingMs() < minRemainingMs) {
      return RetryVerdict.DEADLINE_NEAR;
    }
    return budget.tryTake(nowMs) ? RetryVerdict.RETRY : RetryVerdict.BUDGET_SPENT;
  }

  private int maxAttempts(ResultCode code) {
    return code.effect() == Effect.NOT_RUN
        ? maxAttempts
        : Math.min(maxAttempts, MAX_POSSIBLY_RUN_ATTEMPTS);
  }

  private static boolean isRetryable(FailedAttempt failed) {
    ResultCode code = failed.code();
    if (failed.keyed() && !KEYED_RETRYABLE.contains(code)) {
      return false;
    }
    if (code.effect() == Effect.NOT_RUN) {
      return NOT_RUN_RETRYABLE.contains(code);
    }
    return failed.idempotent() && IDEMPOTENT_RETRYABLE.contains(code);
  }
}
