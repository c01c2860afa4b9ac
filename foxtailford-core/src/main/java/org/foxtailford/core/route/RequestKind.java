package org.foxtailford.core.route;

/** What may be done with a request that may have run. */
public enum RequestKind {
  /** May run more than once. */
  REPEATABLE,
  /** May run at most once for each attempt of a caller. */
  ONCE,
  /** Repeatable, with a large answer. */
  BULK;

  /** Returns whether a request of this kind may run again. */
  public boolean isRepeatable() {
    return this != ONCE;
  }
}
