package org.foxtailford.core.retry;

import org.foxtailford.core.result.ResultCode;

/**
 * Describes a failed attempt to {@link RetryPolicy}.
 *
 * @param code result of the attempt
 * @param idempotent whether running the request twice has the effect of running it once
 * @param keyed whether only the owner of the request's key may run it
 * @param attempts number of attempts so far, including this one
 * @param remainingMs time left until the deadline, in milliseconds
 */
public record FailedAttempt(
    ResultCode code, boolean idempotent, boolean keyed, int attempts, long remainingMs) {}
