package org.foxtailford.core.store;

/** The store no longer has the changes that were asked for. */
public final class HistoryLostException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public HistoryLostException(String message) {
    super(message);
  }
}
