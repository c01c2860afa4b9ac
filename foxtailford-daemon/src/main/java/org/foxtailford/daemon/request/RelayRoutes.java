package org.foxtailford.daemon.request;

import java.util.Optional;

/** Ways to other entry VMs. Implementations are thread-safe. */
@FunctionalInterface
public interface RelayRoutes {

  /** Returns a way to some entry VM of a data centre. */
  Optional<RelayPort> toDataCentre(String dataCentre);

  /**
   * Returns a way to the entry VM of this data centre that may send to a cold upstream; empty if it
   * is this one or can't be reached.
   */
  default Optional<RelayPort> toGateHolder(String upstream) {
    return Optional.empty();
  }
}
