package org.foxtailford.core.retry;

/** Decision on a retry after a failed attempt. */
public enum RetryVerdict {
  /** The request is retried now. */
  RETRY,
  /** The result forbids a retry, or a retry could not succeed. */
  NOT_RETRYABLE,
  /** The maximum number of attempts is reached. */
  ATTEMPTS_USED,
  /** Too little time is left before the deadline. */
  DEADLINE_NEAR,
  /** The retry budget has no token left. */
  BUDGET_SPENT
}
