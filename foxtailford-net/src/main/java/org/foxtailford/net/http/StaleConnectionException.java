package org.foxtailford.net.http;

import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/**
 * Thrown when a reused connection is lost before any byte of the answer is received. Most likely it
 * was closed before the request reached the other end, but this is not certain: the request may be
 * retried only if it is idempotent.
 */
public class StaleConnectionException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  public StaleConnectionException(String message) {
    super(ResultCode.OUTCOME_UNKNOWN, message);
  }
}
