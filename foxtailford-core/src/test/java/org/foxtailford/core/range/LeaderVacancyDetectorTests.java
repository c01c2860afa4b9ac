package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class LeaderVacancyDetectorTests {

  @Test
  public void renewedLeadershipIsNotVacant() {
    LeaderVacancyDetector detector = new LeaderVacancyDetector(0);
    for (long nowMs = 0; nowMs < 20_000; nowMs += 400) {
      assertThat(detector.observe(3, nowMs, false, false, nowMs)).isFalse();
    }
  }

  @Test
  public void leadershipWithoutRenewalIsVacantAfterTimeoutAndDelay() {
    LeaderVacancyDetector detector = new LeaderVacancyDetector(200);
    detector.observe(3, 50, false, false, 1000);
    long due = 1000 + LeadershipTiming.VACANCY_TIMEOUT_MS + 200;
    assertThat(detector.observe(3, 50, false, false, due - 1)).isFalse();
    assertThat(detector.observe(3, 50, false, false, due)).isTrue();
  }

  @Test
  public void previousIncarnationIsReplacedAtOnceAndUntakenLeadershipIsVacantAfterDelay() {
    LeaderVacancyDetector detector = new LeaderVacancyDetector(300);
    assertThat(detector.observe(0, 0, false, false, 0)).isFalse();
    assertThat(detector.observe(0, 0, false, false, 300)).isTrue();
    assertThat(new LeaderVacancyDetector(300).observe(4, 9, true, false, 0)).isTrue();
  }

  @Test
  public void leadershipIsVacantAfterDelayIfHolderDoesNotListen() {
    LeaderVacancyDetector detector = new LeaderVacancyDetector(300);
    assertThat(detector.observe(4, 9, false, true, 0)).isFalse();
    assertThat(detector.observe(4, 9, false, true, 300)).isTrue();
  }
}
