package org.foxtailford.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class StopPlanTests {

  private static final long STOP_MS = 6000;

  private final StopPlan plan = StopPlan.of(STOP_MS);

  @Test
  public void listensWhileARequestStillHasItsFullTime() {
    assertThat(plan.endMs()).isLessThan(STOP_MS);
    assertThat(plan.endMs() - plan.listenMs(2000)).isGreaterThanOrEqualTo(2000);
    assertThat(plan.listenMs(60_000)).isGreaterThan(2000);
  }

  /** Guards against a schedule that stays as it was when a configuration raises the timeouts. */
  @Test
  public void listensForLessTimeUnderLongerTimeouts() {
    assertThat(plan.listenMs(1200)).isGreaterThan(plan.listenMs(2500));
    assertThat(plan.endMs() - plan.listenMs(2500)).isGreaterThanOrEqualTo(2500);
  }

  /** Guards against a request that is passed on and outlasts the process. */
  @Test
  public void startsNoRequestThatMayOutlastTheProcess() {
    long elapsedMs = plan.listenMs(2500) + 1;
    assertThat(plan.mayStart(elapsedMs, elapsedMs + 2500)).isFalse();
    assertThat(plan.mayStart(elapsedMs, elapsedMs + 1000)).isTrue();
    assertThat(plan.mayStart(plan.endMs() - 1, plan.endMs())).isFalse();
  }

  @Test
  public void startsRequestsThatArriveWhileItListens() {
    for (long requestMs : new long[] {200, 1500, 2500, 8500}) {
      long elapsedMs = plan.listenMs(requestMs) - 1;
      assertThat(plan.mayStart(elapsedMs, elapsedMs + requestMs)).isTrue();
    }
  }
}
