package org.foxtailford.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.testng.annotations.Test;

public class RetryPolicyTests {

  private static final long NOW_MS = 1000;
  private static final long AMPLE_TIME_MS = 5000;

  private final RetryPolicy policy =
      new RetryPolicy(3, 5, new RetryBudget(0.1, 0, 1_000_000, NOW_MS));

  private RetryVerdict decide(ResultCode code, boolean idempotent, boolean keyed) {
    return policy.decide(new FailedAttempt(code, idempotent, keyed, 1, AMPLE_TIME_MS), NOW_MS);
  }

  @Test
  public void nonIdempotentWorkThatMayHaveRunIsNeverRetried() {
    for (ResultCode code : ResultCode.values()) {
      if (code.effect() != Effect.NOT_RUN) {
        assertThat(decide(code, false, false)).isEqualTo(RetryVerdict.NOT_RETRYABLE);
        assertThat(decide(code, false, true)).isEqualTo(RetryVerdict.NOT_RETRYABLE);
      }
    }
  }

  @Test
  public void workThatDidNotRunIsRetriedElsewhere() {
    assertThat(decide(ResultCode.UPSTREAM_SHED, false, false)).isEqualTo(RetryVerdict.RETRY);
  }

  @Test
  public void lostAnswerOfIdempotentWorkIsRetried() {
    assertThat(decide(ResultCode.OUTCOME_UNKNOWN, true, true)).isEqualTo(RetryVerdict.RETRY);
  }

  @Test
  public void lostAnswerIsRetriedOnlyOnce() {
    FailedAttempt second =
        new FailedAttempt(ResultCode.OUTCOME_UNKNOWN, true, false, 2, AMPLE_TIME_MS);
    assertThat(policy.decide(second, NOW_MS)).isEqualTo(RetryVerdict.ATTEMPTS_USED);
  }

  @Test
  public void rejectionByTheOwnerIsNotRetried() {
    assertThat(decide(ResultCode.UPSTREAM_SHED, true, true)).isEqualTo(RetryVerdict.NOT_RETRYABLE);
  }

  @Test
  public void attemptsAndTimeAreLimited() {
    FailedAttempt third =
        new FailedAttempt(ResultCode.UPSTREAM_SHED, true, false, 3, AMPLE_TIME_MS);
    FailedAttempt late = new FailedAttempt(ResultCode.UPSTREAM_SHED, true, false, 1, 4);
    assertThat(policy.decide(third, NOW_MS)).isEqualTo(RetryVerdict.ATTEMPTS_USED);
    assertThat(policy.decide(late, NOW_MS)).isEqualTo(RetryVerdict.DEADLINE_NEAR);
  }

  @Test
  public void retriesStayBelowTheShareOfSuccessfulTraffic() {
    RetryBudget budget = new RetryBudget(0.1, 0, 5, NOW_MS);
    int retries = 0;
    for (int i = 0; i < 1000; i++) {
      budget.recordSuccess();
      retries += budget.tryTake(NOW_MS) ? 1 : 0;
    }
    assertThat(retries).isBetween(100, 105);
  }

  @Test
  public void exhaustedBudgetRefillsWithTimeUnlessTheClockStepsBack() {
    RetryBudget budget = new RetryBudget(0, 1, 1, NOW_MS);
    assertThat(budget.tryTake(NOW_MS)).isTrue();
    assertThat(budget.tryTake(NOW_MS - 500)).isFalse();
    assertThat(budget.tryTake(NOW_MS + 999)).isFalse();
    assertThat(budget.tryTake(NOW_MS + 1000)).isTrue();
  }
}
