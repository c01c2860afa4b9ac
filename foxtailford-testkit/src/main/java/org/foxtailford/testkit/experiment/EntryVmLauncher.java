package org.foxtailford.testkit.experiment;

import org.foxtailford.schema.DaemonSettings;

/** Starts entry VMs in this process. */
@FunctionalInterface
public interface EntryVmLauncher {

  /**
   * Starts an entry VM.
   *
   * @return stops it when closed
   */
  AutoCloseable launch(DaemonSettings settings);
}
