package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/** A configuration drops a service with keys, and the next one brings it back. */
public class ServiceComesBackTests {

  @Test
  public void ownGrantsAreInForceWhenTheServiceComesBack() {
    for (long seed = 0; seed < 8; seed++) {
      ControlWorld world = new ControlWorld(3, seed, 6);
      world.runFor(20_000);
      assertThat(world.holders().areAllOwned()).isTrue();
      world.put(ControlWorld.WITHOUT_SERVICES);
      world.unregister("u" + seed % 6); // its registration lapses, and it goes on running
      world.runFor(500);
      world.put(78);
      world.runFor(8000);
      assertThat(world.holders().violations()).as("seed %d", seed).isEmpty();
      assertThat(world.holders().areAllOwned()).as("seed %d", seed).isTrue();
    }
  }

  /** Control: the same without the gap in the configuration. */
  @Test
  public void controlWithoutTheGap() {
    for (long seed = 0; seed < 8; seed++) {
      ControlWorld world = new ControlWorld(3, seed, 6);
      world.runFor(20_000);
      world.unregister("u" + seed % 6);
      world.runFor(8500);
      assertThat(world.holders().violations()).as("seed %d", seed).isEmpty();
      assertThat(world.holders().areAllOwned()).as("seed %d", seed).isTrue();
    }
  }
}
