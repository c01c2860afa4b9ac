package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that accepted configurations come into force in time and that none is reverted. */
final class ConfigurationCheck {

  private final Map<String, Long> inForce = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private long acceptedVersion;
  private long acceptedMs;

  /** Notes the version that an entry VM uses from now on. */
  void noteInForce(SimulatedCandidate vm, long version) {
    String start = vm.name() + " start " + vm.starts();
    long before = inForce.getOrDefault(start, 0L);
    if (version < before) {
      violations.add(start + " went from version " + before + " back to " + version);
    }
    inForce.put(start, version);
  }

  /** Notes that a version was accepted. */
  void accepted(long version, long atMs) {
    if (version > acceptedVersion) {
      acceptedVersion = version;
      acceptedMs = atMs;
    }
  }

  /** Returns how often an entry VM went back to an earlier version. */
  List<String> violations() {
    return List.copyOf(violations);
  }

  /** Returns the version accepted last; 0 if none was. */
  long acceptedVersion() {
    return acceptedVersion;
  }

  /** Returns the true time at which the version accepted last was accepted. */
  long acceptedMs() {
    return acceptedMs;
  }
}
