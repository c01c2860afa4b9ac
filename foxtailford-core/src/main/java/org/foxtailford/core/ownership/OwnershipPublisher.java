package org.foxtailford.core.ownership;

import org.foxtailford.schema.OwnershipCheckpoint;

/** Receives each new version of a data centre's owners. */
@FunctionalInterface
public interface OwnershipPublisher {

  /** Passes a version on to the entry VMs and to the platform. */
  void publish(OwnershipCheckpoint checkpoint);
}
