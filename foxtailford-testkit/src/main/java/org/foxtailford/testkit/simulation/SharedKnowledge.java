package org.foxtailford.testkit.simulation;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationVersion;

/** Knows the configuration and the homes of the system at once, without reading them. */
final class SharedKnowledge implements PlatformKnowledge {

  private final OwnershipSystem system;
  private final MillisClock clock;

  SharedKnowledge(OwnershipSystem system, MillisClock clock) {
    this.system = Assert.notNull(system, "system");
    this.clock = Assert.notNull(clock, "clock");
  }

  @Override
  public ConfigurationView configuration() {
    return system.configuration();
  }

  @Override
  public HomesSnapshot homes() {
    return new HomesSnapshot(system.homes(), clock.nowMs());
  }

  @Override
  public void begin() {
    // Nothing is read.
  }

  @Override
  public CompletableFuture<Void> readHomes() {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  public void exchange() {
    // Everyone knows the same.
  }

  @Override
  public void answer(SimulatedCandidate other, long known) {
    // Everyone knows the same.
  }

  @Override
  public void receive(ConfigurationVersion version) {
    // Everyone knows the same.
  }
}
