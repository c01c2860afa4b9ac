package org.foxtailford.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ServiceLoadTests {

  private static final int POOL_SIZE = 10;
  private static final int SAMPLES_PER_UPSTREAM = 40;

  private ServiceLoad load;
  private long nowMs;

  @BeforeMethod
  public void warmUp() {
    load = new ServiceLoad(4, () -> 1);
    nowMs = 0;
    for (int i = 0; i < SAMPLES_PER_UPSTREAM * POOL_SIZE; i++) {
      serve("u" + i % POOL_SIZE, 5);
    }
  }

  private void serve(String upstream, long elapsedMs) {
    assertThat(load.tryStart(upstream, false, nowMs)).isTrue();
    nowMs += 1;
    load.recordEnd(upstream, AttemptOutcome.ANSWERED, elapsedMs, nowMs);
  }

  @Test
  public void twoOverdueAnswersInARowPutAnUpstreamOnProbation() {
    load.recordOverdue("u3", nowMs);
    assertThat(load.isOnProbation("u3")).isFalse();
    load.recordOverdue("u3", nowMs);
    assertThat(load.isOnProbation("u3")).isTrue();
    assertThat(load.canAccept("u3", nowMs)).isFalse();
  }

  @Test
  public void slowAnswersPutAnUpstreamOnProbation() {
    for (int i = 0; i < 3 && load.canAccept("u3", nowMs); i++) {
      serve("u3", 100);
    }
    assertThat(load.isOnProbation("u3")).isTrue();
  }

  @Test
  public void probationEndsAfterFastProbesSentOneAtATime() {
    load.recordOverdue("u3", nowMs);
    load.recordOverdue("u3", nowMs);
    for (int probe = 0; probe < 3; probe++) {
      assertThat(load.isOnProbation("u3")).isTrue();
      nowMs += 50;
      assertThat(load.tryStart("u3", false, nowMs)).isTrue();
      assertThat(load.tryStart("u3", false, nowMs)).isFalse();
      load.recordEnd("u3", AttemptOutcome.ANSWERED, 5, nowMs);
    }
    assertThat(load.isOnProbation("u3")).isFalse();
  }

  @Test
  public void atMostAThirdOfThePoolIsOnProbation() {
    for (int i = 0; i < POOL_SIZE; i++) {
      load.recordOverdue("u" + i, nowMs);
      load.recordOverdue("u" + i, nowMs);
    }
    long count = 0;
    for (int i = 0; i < POOL_SIZE; i++) {
      count += load.isOnProbation("u" + i) ? 1 : 0;
    }
    assertThat(count).isEqualTo(3);
  }

  @Test
  public void drainingUpstreamGetsNoRequestsForFiveSeconds() {
    load.tryStart("u1", false, nowMs);
    load.recordEnd("u1", AttemptOutcome.DRAINING, 1, nowMs);
    assertThat(load.tryStart("u1", false, nowMs + 4999)).isFalse();
    assertThat(load.tryStart("u1", false, nowMs + 5000)).isTrue();
    assertThat(load.tryStart("u1", false, nowMs + 5000)).isFalse();
  }

  @Test
  public void rejectingUpstreamIsNotPreferredForItsLowLoad() {
    for (int i = 0; i < 20; i++) {
      if (load.tryStart("u1", false, nowMs)) {
        load.recordEnd("u1", AttemptOutcome.REJECTED_FULL, 0, nowMs);
      }
    }
    assertThat(load.canAccept("u1", nowMs)).isFalse();
  }

  @Test
  public void overdueThresholdFollowsTheLatencyOfThePool() {
    assertThat(load.overdueThresholdMs()).isEqualTo(8);
  }
}
