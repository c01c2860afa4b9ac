package org.foxtailford.core.configuration;

import org.foxtailford.schema.ConfigurationDelta;
import org.foxtailford.schema.ConfigurationDigest;
import org.foxtailford.schema.ConfigurationPull;
import org.foxtailford.schema.ConfigurationVersion;

/** An action that {@link ConfigurationPropagation} requests of its node. */
public sealed interface PropagationStep {

  /** Reads the configuration row of the table. */
  record ReadTable() implements PropagationStep {}

  /**
   * Sends a peer the number and the age of the active version.
   *
   * @param peer name of the peer's VM
   * @param digest message to send
   */
  record SendDigest(String peer, ConfigurationDigest digest) implements PropagationStep {}

  /**
   * Asks a peer for a version newer than the active one.
   *
   * @param peer name of the peer's VM
   * @param pull message to send
   */
  record SendPull(String peer, ConfigurationPull pull) implements PropagationStep {}

  /**
   * Sends a peer the changes since the version that it has.
   *
   * @param peer name of the peer's VM
   * @param delta message to send
   */
  record SendDelta(String peer, ConfigurationDelta delta) implements PropagationStep {}

  /**
   * Sends a peer the complete active version.
   *
   * @param peer name of the peer's VM
   * @param version message to send
   */
  record SendSnapshot(String peer, ConfigurationVersion version) implements PropagationStep {}
}
