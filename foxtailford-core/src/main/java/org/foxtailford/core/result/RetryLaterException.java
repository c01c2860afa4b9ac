package org.foxtailford.core.result;

import java.util.Optional;
import org.foxtailford.core.util.Assert;

/** A failure that says when the same request may be sent again. */
public class RetryLaterException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final long retryAfterMs;

  /**
   * Creates a failure.
   *
   * @param code result code
   * @param message details for the caller
   * @param retryAfterMs when to come back, in milliseconds
   */
  public RetryLaterException(ResultCode code, String message, long retryAfterMs) {
    super(code, message);
    Assert.isTrue(retryAfterMs > 0, "retryAfterMs must be positive");
    this.retryAfterMs = retryAfterMs;
  }

  /**
   * Returns the wait that a failure carries, in milliseconds, looking through wrappers added by
   * futures.
   */
  public static Optional<Long> findRetryAfterMs(Throwable failure) {
    for (Throwable t = failure; t != null; t = t.getCause()) {
      if (t instanceof RetryLaterException) {
        return Optional.of(((RetryLaterException) t).retryAfterMs);
      }
    }
    return Optional.empty();
  }
}
