package org.foxtailford.core.idempotency;

import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.KeptAnswer;

/** Result of a claim on a request id. */
public sealed interface ClaimOutcome {

  /**
   * The request may run once.
   *
   * @param ticket right to run the request, which the receiver must end
   */
  record Granted(ClaimTicket ticket) implements ClaimOutcome {}

  /**
   * The request ran before, and its kept answer is returned again.
   *
   * @param answer the upstream's answer
   */
  record Replayed(KeptAnswer answer) implements ClaimOutcome {}

  /**
   * The request must not run now.
   *
   * @param code reason for the refusal
   * @param message details for the caller
   * @param retryAfterMs delay before a retry, in milliseconds; 0 if a retry cannot succeed
   */
  record Refused(ResultCode code, String message, long retryAfterMs) implements ClaimOutcome {}
}
