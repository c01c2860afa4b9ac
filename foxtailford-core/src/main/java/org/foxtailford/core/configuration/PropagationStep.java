package org.foxtailford.core.configuration;

import org.foxtailford.schema.ConfigurationDelta;
import org.foxtailford.schema.ConfigurationDigest;
import org.foxtailford.schema.ConfigurationPull;
import org.foxtailford.schema.ConfigurationVersion;

/** What a node does to spread or to learn a configuration. */
public sealed interface PropagationStep {

  /** Read the row of the configuration in the table. */
  record ReadTable() implements PropagationStep {}

  /**
   * Tell a peer which version is in force here.
   *
   * @param peer name of the peer's VM
   * @param digest the message
   */
  record SendDigest(String peer, ConfigurationDigest digest) implements PropagationStep {}

  /**
   * Ask a peer for what is newer.
   *
   * @param peer name of the peer's VM
   * @param pull the message
   */
  record SendPull(String peer, ConfigurationPull pull) implements PropagationStep {}

  /**
   * Send a peer the items that it lacks.
   *
   * @param peer name of the peer's VM
   * @param delta the message
   */
  record SendDelta(String peer, ConfigurationDelta delta) implements PropagationStep {}

  /**
   * Send a peer the whole version.
   *
   * @param peer name of the peer's VM
   * @param version the message
   */
  record SendSnapshot(String peer, ConfigurationVersion version) implements PropagationStep {}
}
