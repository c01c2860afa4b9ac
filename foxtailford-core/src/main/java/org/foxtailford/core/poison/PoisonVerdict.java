package org.foxtailford.core.poison;

/** Classification of a request by the upstream losses that it was involved in. */
public enum PoisonVerdict {
  /** The request may run without restriction. */
  CLEAR,
  /**
   * The request was in flight when an upstream was lost, and has not been answered since. It runs
   * only while no other suspect does.
   */
  SUSPECT,
  /** The request was in flight at too many losses and must not run. */
  POISON
}
