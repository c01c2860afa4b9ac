package org.foxtailford.core.store;

/** A row does not hold what it should. */
public final class UnreadableRowException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public UnreadableRowException(String message) {
    super(message);
  }

  /** Creates the exception with its cause. */
  public UnreadableRowException(String message, Throwable cause) {
    super(message, cause);
  }
}
