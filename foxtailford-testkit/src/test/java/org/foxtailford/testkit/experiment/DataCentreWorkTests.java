package org.foxtailford.testkit.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.core.result.ResultCode;
import org.testng.annotations.Test;

public class DataCentreWorkTests {

  private static final Set<String> UPSTREAMS = Set.of("menu-2");

  private static RequestOutcome answer(String upstream, long endMs, ResultCode code) {
    return new RequestOutcome(
        "menu", Optional.empty(), endMs - 10, 10_000, code.number(), upstream);
  }

  private static DataCentreWork work(RequestOutcome... outcomes) {
    return DataCentreWork.of("dc-b", UPSTREAMS, 1000, 5000, List.of(outcomes));
  }

  @Test
  public void timesCountFromTheOrders() {
    DataCentreWork work =
        work(
            answer("menu-2", 900, ResultCode.OK),
            answer("menu-2", 1400, ResultCode.OK),
            answer("menu-2", 5300, ResultCode.OK),
            answer("menu-2", 6000, ResultCode.OK));
    assertThat(work.lastAfterOutMs()).hasValue(400);
    assertThat(work.firstAfterInMs()).hasValue(300);
  }

  @Test
  public void otherDataCentresAndRefusalsAreNoWork() {
    DataCentreWork work =
        work(answer("menu-1", 2000, ResultCode.OK), answer("menu-2", 3000, ResultCode.NO_OWNER));
    assertThat(work.lastAfterOutMs()).isEmpty();
    assertThat(work.firstAfterInMs()).isEmpty();
  }
}
