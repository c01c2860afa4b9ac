package org.foxtailford.core.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PoisonTrackerTests {

  private static final PoisonLimits LIMITS = new PoisonLimits(2, 2, 60_000, 3, 5000, 1000);

  private long nowMs;
  private PoisonTracker tracker;

  @BeforeMethod
  public void create() {
    nowMs = 0;
    tracker = new PoisonTracker(LIMITS, () -> nowMs);
  }

  @Test
  public void lostConnectionAloneCausesNoSuspicion() {
    tracker.recordConnectionLoss("u1", 7);
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.CLEAR);
  }

  @Test
  public void requestInFlightAtALossIsSuspect() {
    loseUpstream("u1", 7);
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.SUSPECT);
    assertThat(tracker.verdict(8)).isEqualTo(PoisonVerdict.CLEAR);
  }

  @Test
  public void connectionLostAfterTheUpstreamLossIsCorrelated() {
    tracker.recordUpstreamLoss("u1");
    assertThat(tracker.recordConnectionLoss("u1", 7)).isPresent();
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.SUSPECT);
  }

  @Test
  public void connectionLostBeforeTheCorrelationWindowCausesNoSuspicion() {
    tracker.recordConnectionLoss("u1", 7);
    nowMs += LIMITS.correlationWindowMs() + 1;
    tracker.recordUpstreamLoss("u1");
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.CLEAR);
  }

  @Test
  public void secondLossMakesTheRequestPoison() {
    loseUpstream("u1", 7);
    loseUpstream("u2", 7);
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.POISON);
  }

  @Test
  public void secondLossOfARestartedUpstreamMakesTheRequestPoison() {
    loseUpstream("u1", 7);
    nowMs += LIMITS.duplicateWindowMs();
    loseUpstream("u1", 7);
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.POISON);
  }

  @Test
  public void reportsOnTheSameLossCountOnce() {
    tracker.recordConnectionLoss("u1", 7);
    var report = tracker.recordUpstreamLoss("u1").orElseThrow();
    tracker.applyReport(report);
    tracker.applyReport(report);
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.SUSPECT);
  }

  @Test
  public void answerClearsASuspect() {
    loseUpstream("u1", 7);
    tracker.recordAnswer(7);
    loseUpstream("u2", 7);
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.SUSPECT);
  }

  @Test
  public void requestsThatShareTheirLossesGetAThirdTrial() {
    tracker = new PoisonTracker(PoisonLimits.BY_INCARNATION, () -> nowMs);
    for (String upstream : List.of("u1", "u2")) {
      tracker.recordConnectionLoss(upstream, 7);
      loseUpstream(upstream, 8);
    }
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.SUSPECT);
    assertThat(tracker.verdict(8)).isEqualTo(PoisonVerdict.SUSPECT);
    tracker.recordAnswer(8);
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.POISON);
  }

  @Test
  public void thirdSharedLossMakesTheRequestPoison() {
    tracker = new PoisonTracker(PoisonLimits.BY_INCARNATION, () -> nowMs);
    for (String upstream : List.of("u1", "u2", "u3")) {
      tracker.recordConnectionLoss(upstream, 7);
      loseUpstream(upstream, 8);
    }
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.POISON);
    nowMs += 1000;
    assertThat(tracker.refusedForMs(7)).isEqualTo(PoisonLimits.BY_INCARNATION.ttlMs() - 1000);
  }

  // A partition refuses connections, so upstreams behind it looked lost for good.
  @Test
  public void answerOfAnUpstreamTakenForLostClearsItsRequests() {
    tracker = new PoisonTracker(PoisonLimits.BY_INCARNATION, () -> nowMs);
    loseUpstream("u1", 7);
    assertThat(tracker.isLost("u1")).isTrue();
    tracker.recordUpstreamAlive("u1");
    assertThat(tracker.isLost("u1")).isFalse();
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.CLEAR);
    tracker.recordConnectionLoss("u1", 7);
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.CLEAR);
  }

  @Test
  public void suspicionExpires() {
    loseUpstream("u1", 7);
    loseUpstream("u2", 7);
    nowMs += LIMITS.ttlMs() + 1;
    assertThat(tracker.verdict(7)).isEqualTo(PoisonVerdict.CLEAR);
  }

  @Test
  public void suspectsRunOneAfterTheOther() {
    assertThat(tracker.tryBeginTrial(7)).isTrue();
    assertThat(tracker.tryBeginTrial(8)).isFalse();
    tracker.endTrial(7);
    assertThat(tracker.tryBeginTrial(8)).isTrue();
  }

  @Test
  public void suspectsAreBounded() {
    for (int i = 0; i < 10; i++) {
      loseUpstream("u" + i, i);
    }
    assertThat(tracker.suspectCount()).isEqualTo(LIMITS.maxSuspects());
  }

  private void loseUpstream(String upstream, long fingerprint) {
    tracker.recordConnectionLoss(upstream, fingerprint);
    tracker.recordUpstreamLoss(upstream);
  }
}
