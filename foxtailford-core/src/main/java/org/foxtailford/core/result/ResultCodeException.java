package org.foxtailford.core.result;

import org.foxtailford.core.util.Assert;

/** Base class of failures that carry a {@link ResultCode}. */
public class ResultCodeException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  /** Creates an exception without a cause. */
  public ResultCodeException(ResultCode code, String message) {
    super(message);
    this.code = Assert.notNull(code, "code");
  }

  /** Creates an exception with a cause. */
  public ResultCodeException(ResultCode code, String message, Throwable cause) {
    super(message, cause);
    this.code = Assert.notNull(code, "code");
  }

  /** Returns the result code of this failure. */
  public ResultCode code() {
    return code;
  }

  /**
   * Returns the first result code in a chain of causes; futures wrap the exception that carries it.
   *
   * @param failure any failure
   * @return result code, or {@link ResultCode#INTERNAL_ERROR} if the chain has none
   */
  public static ResultCode codeOf(Throwable failure) {
    for (Throwable throwable = failure; throwable != null; throwable = throwable.getCause()) {
      if (throwable instanceof ResultCodeException) {
        return ((ResultCodeException) throwable).code();
      }
    }
    return ResultCode.INTERNAL_ERROR;
  }
}
