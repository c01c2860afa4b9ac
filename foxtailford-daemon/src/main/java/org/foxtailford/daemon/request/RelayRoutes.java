package org.foxtailford.daemon.request;

import java.util.Optional;

/** Finds links for relaying requests to other entry VMs. Implementations are thread-safe. */
@FunctionalInterface
public interface RelayRoutes {

  /** Returns a link to any entry VM of a data centre; empty if none can be reached. */
  Optional<RelayPort> toDataCentre(String dataCentre);

  /**
   * Returns a link to the entry VM of this data centre that may send to a cold upstream; empty if
   * that is this VM, or if it can't be reached.
   */
  default Optional<RelayPort> toGateHolder(String upstream) {
    return Optional.empty();
  }
}
