package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class OwnershipScheduleTests {

  private static final long SCHEDULES = 10_000;

  private final OwnershipExplorer explorer = new OwnershipExplorer(SimulationVariant.unchanged());

  @Test
  public void noScheduleGivesTwoOwnersOrLosesAnAssignment() {
    List<ScheduleResult> failed =
        LongStream.rangeClosed(1, SCHEDULES)
            .parallel()
            .mapToObj(seed -> explorer.run(seed, false))
            .filter(result -> !result.passed())
            .toList();
    assertThat(failed).isEmpty();
  }

  @Test
  public void theSameSeedGivesTheSameTrace() {
    assertThat(explorer.run(17, true)).isEqualTo(explorer.run(17, true));
    assertThat(explorer.run(17, true).trace()).isNotEmpty();
  }
}
