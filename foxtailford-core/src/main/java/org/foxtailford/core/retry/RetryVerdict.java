package org.foxtailford.core.retry;

/** What becomes of a request whose attempt failed. */
public enum RetryVerdict {
  /** It is sent again now. */
  RETRY,
  /** Its result does not permit or not reward another attempt. */
  NOT_RETRYABLE,
  /** It has used all its attempts. */
  ATTEMPTS_USED,
  /** Too little time is left for another attempt. */
  DEADLINE_NEAR,
  /** The budget of retries is spent. */
  BUDGET_SPENT
}
