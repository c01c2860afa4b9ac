package org.foxtailford.core.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.OptionalLong;
import org.testng.annotations.Test;

public class EraTrackerTests {

  @Test
  public void lateAnswerOfAnEarlierEraIsRejected() {
    EraTracker tracker = new EraTracker();
    tracker.observe(OptionalLong.of(4));
    assertThat(tracker.observe(OptionalLong.of(5))).isEqualTo(5);
    assertThatThrownBy(() -> tracker.observe(OptionalLong.of(4)))
        .isInstanceOf(EraChangedException.class);
    assertThat(tracker.era()).isEqualTo(5);
  }

  @Test
  public void missingOrImpossibleEraBeginsNoNewOne() {
    EraTracker tracker = new EraTracker();
    tracker.observe(OptionalLong.of(4));
    assertThat(tracker.observe(OptionalLong.empty())).isEqualTo(4);
    assertThat(tracker.observe(OptionalLong.of(EraTracker.MAX_ERA + 1))).isEqualTo(4);
    assertThat(tracker.era()).isEqualTo(4);
  }
}
