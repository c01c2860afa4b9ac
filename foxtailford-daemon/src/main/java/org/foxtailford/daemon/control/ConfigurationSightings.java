package org.foxtailford.daemon.control;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/** Configuration versions that other entry VMs reported recently. Thread-safe. */
public final class ConfigurationSightings {

  private static final long RETENTION_MS = 10_000;

  private final MillisClock clock;
  private final Map<String, Sighting> byVm = new ConcurrentHashMap<>();

  public ConfigurationSightings(MillisClock clock) {
    this.clock = Assert.notNull(clock, "clock");
  }

  private record Sighting(long version, long atMs) {}

  /** Records the configuration version that a VM reported. */
  public void add(String vm, long version) {
    byVm.put(vm, new Sighting(version, clock.nowMs()));
  }

  /** Returns the versions by VM name, without VMs that sent no report in the last 10 seconds. */
  public Map<String, Long> versions() {
    long oldestMs = clock.nowMs() - RETENTION_MS;
    byVm.values().removeIf(sighting -> sighting.atMs() < oldestMs);
    Map<String, Long> versions = new TreeMap<>();
    byVm.forEach((vm, sighting) -> versions.put(vm, sighting.version()));
    return versions;
  }
}
