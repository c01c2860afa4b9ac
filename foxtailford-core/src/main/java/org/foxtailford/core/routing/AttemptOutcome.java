package org.foxtailford.core.routing;

/** How an attempt at an upstream ended, as far as its load is concerned. */
public enum AttemptOutcome {
  /** The upstream answered; its latency counts. */
  ANSWERED,
  /** The upstream refused for lack of room. */
  REJECTED_FULL,
  /** The upstream refused because it is leaving. */
  DRAINING,
  /** The attempt failed, was refused for another reason, or was cancelled. */
  INCONCLUSIVE
}
