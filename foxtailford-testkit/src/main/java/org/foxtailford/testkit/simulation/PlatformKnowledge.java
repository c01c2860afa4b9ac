package org.foxtailford.testkit.simulation;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.schema.ConfigurationVersion;

/** What one entry VM knows of the configuration, the VM list and the homes of ranges. */
interface PlatformKnowledge {

  /** Returns the configuration that this VM uses. */
  ConfigurationView configuration();

  /** Returns the homes that this VM uses, and their age. */
  HomesSnapshot homes();

  /** Starts to read; called once for each start of the VM. */
  void begin();

  /** Reads the homes now. */
  CompletableFuture<Void> readHomes();

  /** Tells the other entry VMs which configuration version this one uses. */
  void exchange();

  /** Gives another entry VM a newer configuration than it knows, if there is one. */
  void answer(SimulatedCandidate other, long known);

  /** Takes a configuration from another entry VM. */
  void receive(ConfigurationVersion version);
}
