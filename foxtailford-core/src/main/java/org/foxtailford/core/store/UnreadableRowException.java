package org.foxtailford.core.store;

/** Thrown when the content of a row is malformed or invalid. */
public final class UnreadableRowException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a detail message. */
  public UnreadableRowException(String message) {
    super(message);
  }

  /** Creates the exception with a detail message and its cause. */
  public UnreadableRowException(String message, Throwable cause) {
    super(message, cause);
  }
}
