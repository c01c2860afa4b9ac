package org.foxtailford.core.range;

/** How an order to an upstream ended. */
public enum CommandOutcome {
  /** The upstream confirmed it. */
  DONE,
  /** The upstream has seen a higher fence. */
  FENCED,
  /**
   * There was no connection, so that the order surely did not arrive. It proves nothing else: a cut
   * refuses connections too.
   */
  UNREACHED,
  /** Another upstream has the address: the process of the meant one is gone. */
  OTHER_UPSTREAM,
  /** The order may have been carried out, or may be later. */
  UNKNOWN
}
