package org.foxtailford.core.retry;

import java.util.EnumSet;
import java.util.Set;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;

/**
 * Decides whether a failed attempt is followed by another one.
 *
 * <p>An attempt that provably did not run may be repeated. One that may have run is repeated only
 * if the request is idempotent, and no more than once: a request that crashes the upstreams that
 * run it would otherwise take one with each attempt before the first loss is known. A keyed request
 * has a single owner, so a refusal for lack of room is final for it: the same upstream would be
 * asked again at once. Thread-safe.
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

  private static final int MAX_ATTEMPTS_THAT_MAY_HAVE_RUN = 2;

  private final int maxAttempts;
  private final long minRemainingMs;
  private final RetryBudget budget;

  /**
   * Creates a policy.
   *
   * @param maxAttempts most attempts of one request, the first included
   * @param minRemainingMs least time that must be left for another attempt, in milliseconds
   * @param budget pays for each retry
   */
  public RetryPolicy(int maxAttempts, long minRemainingMs, RetryBudget budget) {
    Assert.isTrue(maxAttempts > 0, "maxAttempts must be positive");
    this.maxAttempts = maxAttempts;
    this.minRemainingMs = minRemainingMs;
    this.budget = Assert.notNull(budget, "budget");
  }

  /**
   * Decides on a failed attempt. {@link RetryVerdict#RETRY} has taken its share of the budget.
   *
   * @param failed the attempt
   * @param nowMs reading of this VM's clock
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
        : Math.min(maxAttempts, MAX_ATTEMPTS_THAT_MAY_HAVE_RUN);
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
