package org.foxtailford.net.http;

import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/**
 * A reused connection was lost before any byte of the answer came. It was most likely closed before
 * the request reached the other end, but that cannot be known: the request may be sent again only
 * if it is idempotent.
 */
public class StaleConnectionException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  public StaleConnectionException(String message) {
    super(ResultCode.OUTCOME_UNKNOWN, message);
  }
}
