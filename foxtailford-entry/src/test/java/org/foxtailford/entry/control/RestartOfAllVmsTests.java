package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

/**
 * All VMs and one upstream end; the VMs are back soon. The keys of the upstream are free once its
 * grants have expired, if no other leader than the last one can have renewed them.
 */
public class RestartOfAllVmsTests {

  private static final int UPSTREAMS = 6;

  /** Time after which a grant that was sent last is no longer in force, in milliseconds. */
  private static final long GRANT_MS = 3860;

  /** Time in which leadership is acquired and the new owners are written, in milliseconds. */
  private static final long ELECTION_MS = 1500;

  @Test
  public void keysOfAnEndedUpstreamComeBackAsSoonAsItsGrantsHaveExpired() {
    for (long seed = 0; seed < 8; seed++) {
      ControlWorld world = new ControlWorld(9, seed, UPSTREAMS);
      world.runFor(8000);
      world.unregister("u" + seed % UPSTREAMS);
      world.holders().end("u" + seed % UPSTREAMS);
      world.restartAll();
      world.runFor(ELECTION_MS + GRANT_MS);
      assertThat(world.holders().areAllOwned()).as("seed %d", seed).isTrue();
      assertThat(world.holders().violations()).as("seed %d", seed).isEmpty();
    }
  }
}
