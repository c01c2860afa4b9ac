package org.foxtailford.core.store;

/** The store answered that it does nothing for now. */
public final class StoreRefusedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;

  /** Creates the exception with the status of the answer. */
  public StoreRefusedException(int status) {
    super("the store answered with status " + status);
    this.status = status;
  }

  /** Returns the status of the answer. */
  public int status() {
    return status;
  }
}
