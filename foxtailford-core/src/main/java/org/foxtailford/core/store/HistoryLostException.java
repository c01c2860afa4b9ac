package org.foxtailford.core.store;

/** Thrown when the store no longer has the requested changes of a table. */
public final class HistoryLostException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with a detail message. */
  public HistoryLostException(String message) {
    super(message);
  }
}
