package org.foxtailford.core.store;

/**
 * Thrown when an answer of the store belongs to another era than its call, so that neither the rows
 * nor the conditions of the call mean anything.
 */
public final class EraChangedException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates the exception with the era of the call and that of the answer. */
  public EraChangedException(long calledEra, long answeredEra) {
    super("call of era " + calledEra + " was answered in era " + answeredEra);
  }
}
