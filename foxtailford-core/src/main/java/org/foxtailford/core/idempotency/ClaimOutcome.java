package org.foxtailford.core.idempotency;

import org.foxtailford.core.result.ResultCode;
import org.foxtailford.schema.KeptAnswer;

/** What came of a claim. */
public sealed interface ClaimOutcome {

  /**
   * The request may run once.
   *
   * @param ticket right to run it
   */
  record Granted(ClaimTicket ticket) implements ClaimOutcome {}

  /**
   * The request ran before; its answer is given again.
   *
   * @param answer the upstream's answer
   */
  record Replayed(KeptAnswer answer) implements ClaimOutcome {}

  /**
   * The request doesn't run now.
   *
   * @param code reason
   * @param message details for the caller
   * @param retryAfterMs when to ask again, in milliseconds; 0 if asking again is of no use
   */
  record Refused(ResultCode code, String message, long retryAfterMs) implements ClaimOutcome {}
}
