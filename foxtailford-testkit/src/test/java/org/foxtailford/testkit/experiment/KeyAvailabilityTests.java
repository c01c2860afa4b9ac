package org.foxtailford.testkit.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.foxtailford.core.result.ResultCode;
import org.testng.annotations.Test;

public class KeyAvailabilityTests {

  private static final PhaseWindow WHOLE = new PhaseWindow("whole", 0, 10_000);

  private static RequestOutcome answered(String key, long sentMs) {
    return outcome(key, sentMs, ResultCode.OK);
  }

  private static RequestOutcome refused(String key, long sentMs) {
    return outcome(key, sentMs, ResultCode.NO_OWNER);
  }

  private static RequestOutcome outcome(String key, long sentMs, ResultCode code) {
    return new RequestOutcome("menu", Optional.of(key), sentMs, 500, code.number(), "");
  }

  private static double keySeconds(PhaseWindow phase, RequestOutcome... outcomes) {
    return new KeyAvailability(List.of(outcomes), WHOLE.endMs()).unavailableKeySeconds(phase);
  }

  @Test
  public void answeredKeyIsNeverUnavailable() {
    assertThat(keySeconds(WHOLE, answered("a", 0), answered("a", 9000))).isZero();
  }

  @Test
  public void keyIsUnavailableFromItsFirstFailureUntilItsNextAnswer() {
    double seconds =
        keySeconds(
            WHOLE, answered("a", 0), refused("a", 1000), refused("a", 2000), answered("a", 2500));
    assertThat(seconds).isEqualTo(1.5);
  }

  @Test
  public void answersOfOtherKeysEndNothing() {
    double seconds =
        keySeconds(WHOLE, refused("a", 1000), answered("b", 1500), answered("a", 2000));
    assertThat(seconds).isEqualTo(1.0);
  }

  @Test
  public void keysAddUp() {
    double seconds =
        keySeconds(
            WHOLE,
            refused("a", 1000),
            refused("b", 1000),
            answered("a", 2000),
            answered("b", 4000));
    assertThat(seconds).isEqualTo(4.0);
  }

  @Test
  public void orderOfOutcomesDoesNotMatter() {
    double seconds = keySeconds(WHOLE, answered("a", 2500), refused("a", 1000), answered("a", 500));
    assertThat(seconds).isEqualTo(1.5);
  }

  @Test
  public void keyThatNeverComesBackIsUnavailableUntilTheEnd() {
    assertThat(keySeconds(WHOLE, refused("a", 4000))).isEqualTo(6.0);
  }

  @Test
  public void intervalCountsInEachPhaseWithThePartThatLiesThere() {
    RequestOutcome[] outcomes = {refused("a", 1000), answered("a", 4000)};
    assertThat(keySeconds(new PhaseWindow("first", 0, 1500), outcomes)).isEqualTo(0.5);
    assertThat(keySeconds(new PhaseWindow("second", 1500, 10_000), outcomes)).isEqualTo(2.5);
  }

  @Test
  public void requestsWithoutKeyCountForNothing() {
    RequestOutcome refused =
        new RequestOutcome("pantry", Optional.empty(), 0, 1, ResultCode.NO_UPSTREAM.number(), "");
    assertThat(keySeconds(WHOLE, refused)).isZero();
  }
}
