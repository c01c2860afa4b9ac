package org.foxtailford.core.range;

/** How an order to an upstream ended. */
public enum OrderOutcome {
  /** The upstream confirmed it. */
  DONE,
  /** The upstream has seen a higher fence. */
  FENCED,
  /** Nothing listens at the upstream's address: its process is gone. */
  NOBODY_LISTENS,
  /** The order may have been carried out, or may be later. */
  UNKNOWN
}
