package org.foxtailford.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.schema.entry.WorkTime;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class KeyLoadsTests {

  private KeyLoads loads;

  @BeforeMethod
  public void create() {
    loads = new KeyLoads();
    loads.addWorkTimes(List.of(answers().setLimitPerSecond(5).build()), 1000);
  }

  @Test
  public void limitAllowsAsManySlotsAsItsRequestsKeepBusy() {
    assertThat(loads.limitedSlots(entry(), 1000)).hasValue(1); // 5 a second of 200 ms each
  }

  // Under the same id, the next incarnation of an upstream got few keys for half a minute.
  @Test
  public void limitEndsWithAReportOfAnAnswerThatNamesNone() {
    loads.addWorkTimes(List.of(answers().build()), 1100);
    assertThat(loads.limitedSlots(entry(), 1100)).isPresent();
    loads.addWorkTimes(List.of(answers().setLimitPerSecond(-1).build()), 1200);
    assertThat(loads.limitedSlots(entry(), 1200)).isEmpty();
  }

  @Test
  public void limitIsForgottenWithoutNews() {
    assertThat(loads.limitedSlots(entry(), 31_000)).isPresent();
    assertThat(loads.limitedSlots(entry(), 31_001)).isEmpty();
  }

  private static WorkTime.Builder answers() {
    return WorkTime.newBuilder()
        .setService("prices")
        .setUpstream("u1")
        .setAnswers(10)
        .setTotalMs(2000);
  }

  private static UpstreamEntry entry() {
    return new UpstreamEntry(
        "u1", 1, "prices", new UpstreamAddress("10.0.0.1", 80), "dc", 4, false, 0);
  }
}
