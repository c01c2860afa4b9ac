package org.foxtailford.core.store;

import java.util.Optional;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.upstream.UpstreamEntry;

/** Reads the rows that operators and upstreams write. */
public interface PlatformRows {

  /** Returns the table of the operators' orders. */
  String operatorTable();

  /** Returns the table of the upstreams' registrations. */
  String upstreamTable();

  /** Returns whether a row of the operators' table is the configuration. */
  boolean isConfiguration(Row row);

  /**
   * Reads a configuration.
   *
   * @throws UnreadableRowException if it can't be read
   */
  RoutingConfiguration readConfiguration(Row row);

  /** Returns the data centre that a row of the operators' table orders to be left alone. */
  Optional<String> findEvacuatedDataCentre(Row row);

  /**
   * Reads a registration.
   *
   * @throws UnreadableRowException if it names no upstream to use
   */
  UpstreamEntry readUpstream(Row row);
}
