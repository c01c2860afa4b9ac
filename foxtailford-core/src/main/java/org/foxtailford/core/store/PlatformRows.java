package org.foxtailford.core.store;

import java.util.Optional;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.upstream.UpstreamEntry;

/** Parses the rows that operators and upstreams write. */
public interface PlatformRows {

  /** Returns the name of the table that operators write. */
  String operatorTable();

  /** Returns the name of the table of the upstreams' registrations. */
  String upstreamTable();

  /** Returns whether a row of the operators' table is the configuration. */
  boolean isConfiguration(Row row);

  /**
   * Parses a configuration.
   *
   * @throws UnreadableRowException if the row is malformed or invalid
   */
  RoutingConfiguration readConfiguration(Row row);

  /** Returns the data centre that a row of the operators' table evacuates; empty for other rows. */
  Optional<String> findEvacuatedDataCentre(Row row);

  /**
   * Parses the registration of an upstream.
   *
   * @throws UnreadableRowException if the row describes no usable upstream
   */
  UpstreamEntry readUpstream(Row row);
}
