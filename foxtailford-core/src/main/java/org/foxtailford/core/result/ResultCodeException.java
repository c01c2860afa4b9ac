package org.foxtailford.core.result;

import org.foxtailford.core.util.Assert;

/** A failure with a numbered result code. */
public class ResultCodeException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  public ResultCodeException(ResultCode code, String message) {
    super(message);
    this.code = Assert.notNull(code, "code");
  }

  public ResultCodeException(ResultCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = Assert.notNull(code, "code");
  }

  public ResultCode code() {
    return code;
  }

  /**
   * Returns the result code of a failure, looking through wrappers added by futures.
   *
   * @param failure any failure
   * @return its code, or {@link ResultCode#INTERNAL_ERROR} if it carries none
   */
  public static ResultCode codeOf(Throwable failure) {
    for (Throwable t = failure; t != null; t = t.getCause()) {
      if (t instanceof ResultCodeException) {
        return ((ResultCodeException) t).code();
      }
    }
    return ResultCode.INTERNAL_ERROR;
  }
}
