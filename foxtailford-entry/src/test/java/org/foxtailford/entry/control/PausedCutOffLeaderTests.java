package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A leader that is cut off is paused for less than a pause is noticed from, so that it goes on
 * renewing for longer than the next leader waits.
 */
public class PausedCutOffLeaderTests {

  @DataProvider
  public Object[][] pauses() {
    return new Object[][] {{true, 0}, {true, 1}, {true, 2}, {true, 4}, {false, 4}};
  }

  @Test(dataProvider = "pauses")
  public void pausesDoNotStretchTheTimeForWhichItRenews(boolean refuses, int pauses) {
    for (long seed = 0; seed < 8; seed++) {
      ControlWorld world = new ControlWorld(9, seed, 6);
      ControlWorld.Vm cutOff = world.leader();
      cutOff.link().setSilent(true);
      String upstream = "u" + seed % 6;
      world.cut(new ControlWorld.Cut(Set.of(cutOff.number()), Set.of(upstream), refuses));
      world.later(2600, () -> world.unregister(upstream));
      for (int i = 0; i < pauses; i++) {
        world.later(500 + 1200 * i, () -> cutOff.pause(650));
      }
      world.runFor(16_000);
      assertThat(world.holders().violations())
          .as("seed %d, longest %d ms", seed, world.holders().longestSharedMs())
          .isEmpty();
    }
  }
}
