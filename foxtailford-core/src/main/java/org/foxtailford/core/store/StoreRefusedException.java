package org.foxtailford.core.store;

/** Thrown when the store answers with an error status, without performing the call for now. */
public final class StoreRefusedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;

  /** Creates the exception with the HTTP status of the answer. */
  public StoreRefusedException(int status) {
    super("the store answered with status " + status);
    this.status = status;
  }

  /** Returns the HTTP status of the answer. */
  public int status() {
    return status;
  }
}
