package org.foxtailford.core.result;

import java.util.Optional;
import org.foxtailford.core.util.Assert;

/** Failure that tells the caller how long to wait before retrying the request. */
public class RetryLaterException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final long retryAfterMs;

  /**
   * Creates an exception.
   *
   * @param code result code
   * @param message details for the caller
   * @param retryAfterMs time to wait before a retry, in milliseconds; must be positive
   */
  public RetryLaterException(ResultCode code, String message, long retryAfterMs) {
    super(code, message);
    Assert.isTrue(retryAfterMs > 0, "retryAfterMs must be positive");
    this.retryAfterMs = retryAfterMs;
  }

  /**
   * Returns the time to wait before a retry, in milliseconds, from the first such exception in a
   * chain of causes; empty if there is none.
   */
  public static Optional<Long> findRetryAfterMs(Throwable failure) {
    for (Throwable throwable = failure; throwable != null; throwable = throwable.getCause()) {
      if (throwable instanceof RetryLaterException) {
        return Optional.of(((RetryLaterException) throwable).retryAfterMs);
      }
    }
    return Optional.empty();
  }
}
