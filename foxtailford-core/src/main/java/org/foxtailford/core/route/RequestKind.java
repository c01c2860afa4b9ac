package org.foxtailford.core.route;

/** What may be done with a request that may have run. */
public enum RequestKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** May run at most once for each attempt of a caller. */
  AT_MOST_ONCE,
  /** Repeatable, with a large answer. */
  BULK;

  /** Returns whether a request of this kind may run again. */
  public boolean isIdempotent() {
    return this != AT_MOST_ONCE;
  }
}
