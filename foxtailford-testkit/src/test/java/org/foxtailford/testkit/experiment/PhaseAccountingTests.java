package org.foxtailford.testkit.experiment;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.result.ResultCode;
import org.testng.annotations.Test;

public class PhaseAccountingTests {

  private static final List<PhaseWindow> PHASES =
      List.of(new PhaseWindow("before", 0, 1000), new PhaseWindow("out", 1000, 3000));

  private final PhaseAccounting accounting = new PhaseAccounting(PHASES);

  private static RequestOutcome pantry(long sentMs, long latencyMicros, ResultCode code) {
    return new RequestOutcome("pantry", Optional.empty(), sentMs, latencyMicros, code.number(), "");
  }

  @Test
  public void requestBelongsToThePhaseInWhichItWasDue() {
    RequestOutcome late = pantry(999, 500_000, ResultCode.OK);
    RequestOutcome first = pantry(1000, 1000, ResultCode.OK);
    List<ServiceFigures> figures = accounting.figures("pantry", List.of(late, first));
    assertThat(figures).extracting(ServiceFigures::phase).containsExactly("before", "out");
    assertThat(figures).extracting(ServiceFigures::requests).containsExactly(1L, 1L);
    assertThat(figures.get(0).maxMs()).isCloseTo(500, within(1.0));
  }

  @Test
  public void refusalsCountByCodeAndLowerTheShare() {
    ServiceFigures before =
        accounting
            .figures(
                "pantry",
                List.of(
                    pantry(0, 10, ResultCode.OK),
                    pantry(1, 10, ResultCode.OVERLOADED),
                    pantry(2, 10, ResultCode.OVERLOADED),
                    pantry(3, 10, ResultCode.ANSWER_TIMEOUT)))
            .get(0);
    assertThat(before.answeredPercent()).isEqualTo(25.0);
    assertThat(before.refusals())
        .isEqualTo(
            Map.of(ResultCode.OVERLOADED.number(), 2L, ResultCode.ANSWER_TIMEOUT.number(), 1L));
  }

  @Test
  public void percentilesAreOfTheAnsweredAlone() {
    List<RequestOutcome> outcomes = new ArrayList<>();
    for (int i = 1; i <= 100; i++) {
      outcomes.add(pantry(i, i * 1000L, ResultCode.OK));
      outcomes.add(pantry(i, 900_000, ResultCode.NO_UPSTREAM));
    }
    ServiceFigures before = accounting.figures("pantry", outcomes).get(0);
    assertThat(before.p50Ms()).isCloseTo(50, within(0.1));
    assertThat(before.p99Ms()).isCloseTo(99, within(0.1));
  }

  @Test
  public void otherServicesAreLeftOut() {
    assertThat(accounting.figures("menu", List.of(pantry(0, 1, ResultCode.OK))))
        .extracting(ServiceFigures::requests)
        .containsExactly(0L, 0L);
  }

  @Test
  public void onlyServicesWithKeysHaveUnavailableKeySeconds() {
    RequestOutcome keyed =
        new RequestOutcome("menu", Optional.of("dal"), 500, 1, ResultCode.NO_OWNER.number(), "");
    RequestOutcome keyless = pantry(500, 1, ResultCode.NO_UPSTREAM);
    List<RequestOutcome> both = List.of(keyed, keyless);
    assertThat(accounting.figures("menu", both).get(1).unavailableKeySeconds()).hasValue(2.0);
    assertThat(accounting.figures("pantry", both).get(1).unavailableKeySeconds()).isEmpty();
  }
}
