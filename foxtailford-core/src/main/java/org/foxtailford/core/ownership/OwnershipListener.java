package org.foxtailford.core.ownership;

/**
 * Listener for grants and slice changes of a data centre leader. Called on the executor of the
 * leader.
 */
public interface OwnershipListener {

  /** Listener that ignores all events. */
  OwnershipListener NONE = new OwnershipListener() {};

  /** Called when an upstream accepts a grant request. */
  default void granted() {}

  /**
   * Called when an upstream refuses a grant request, because of its fence or because the upstream
   * has restarted.
   */
  default void grantRefused() {}

  /** Called when a slice moves from one upstream to another. */
  default void moved(String service) {}

  /** Called when a slice is split. */
  default void split(String service) {}

  /** Called when slices are merged. */
  default void merged(String service) {}
}
