package org.foxtailford.core.ownership;

import org.foxtailford.schema.OwnershipCheckpoint;

/** Publishes each new version of a data centre's owners. */
@FunctionalInterface
public interface OwnershipPublisher {

  /** Sends a version to the entry VMs and to the platform. */
  void publish(OwnershipCheckpoint checkpoint);
}
