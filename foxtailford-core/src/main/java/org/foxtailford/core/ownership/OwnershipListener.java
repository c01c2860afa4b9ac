package org.foxtailford.core.ownership;

/** Receives what a leader does with the slices of its data centre, on the leader's executor. */
public interface OwnershipListener {

  /** Ignores everything. */
  OwnershipListener NONE = new OwnershipListener() {};

  /** An upstream accepted an order. */
  default void granted() {}

  /** An upstream refused an order, by its fence or because it restarted. */
  default void grantRefused() {}

  /** A slice went from one upstream to another. */
  default void moved(String service) {}

  /** A slice was divided. */
  default void split(String service) {}

  /** Slices were joined. */
  default void merged(String service) {}
}
