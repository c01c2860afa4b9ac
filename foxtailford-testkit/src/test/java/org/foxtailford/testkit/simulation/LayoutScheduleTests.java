package org.foxtailford.testkit.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

public class LayoutScheduleTests {

  private static final long SCHEDULES = 10_000;

  private final OwnershipExplorer explorer =
      new OwnershipExplorer(
          new SimulationVariant() {
            @Override
            public boolean changesLayouts() {
              return true;
            }
          });

  @Test
  public void noScheduleWithSplitsAndMergesGivesTwoOwnersOrLosesAnAssignment() {
    List<ScheduleResult> failed =
        LongStream.rangeClosed(1, SCHEDULES)
            .parallel()
            .mapToObj(seed -> explorer.run(seed, false))
            .filter(result -> !result.passed())
            .toList();
    assertThat(failed).isEmpty();
  }
}
