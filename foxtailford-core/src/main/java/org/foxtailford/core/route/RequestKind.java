package org.foxtailford.core.route;

/** Determines whether a request that may already have run can be sent again. */
public enum RequestKind {
  /** Idempotent: may run more than once. */
  IDEMPOTENT,
  /** Not idempotent: runs at most once for each attempt of a caller. */
  AT_MOST_ONCE,
  /** Idempotent, with a large answer. */
  BULK;

  /** Returns whether a request of this kind may run more than once. */
  public boolean isIdempotent() {
    return this != AT_MOST_ONCE;
  }
}
