package org.foxtailford.core.routing;

/** Outcome of an attempt at an upstream, as far as it says something about the load there. */
public enum AttemptOutcome {
  /** The upstream answered; the latency of the answer is recorded. */
  ANSWERED,
  /** The upstream rejected the request for lack of capacity. */
  REJECTED_FULL,
  /** The upstream refused the request because it is draining. */
  DRAINING,
  /** The attempt failed, was refused for another reason, or was cancelled. */
  INCONCLUSIVE
}
