package org.foxtailford.core.poison;

/** What is known of a request's content. */
public enum PoisonVerdict {
  /** Nothing speaks against it. */
  CLEAR,
  /** It was in flight when an upstream was lost, and has not been answered since. */
  SUSPECT,
  /** It was in flight at too many losses, and must not run. */
  POISON
}
