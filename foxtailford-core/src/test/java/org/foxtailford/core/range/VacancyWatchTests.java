package org.foxtailford.core.range;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class VacancyWatchTests {

  @Test
  public void seatThatIsRenewedIsNotTaken() {
    VacancyWatch watch = new VacancyWatch(0);
    for (long nowMs = 0; nowMs < 20_000; nowMs += 400) {
      assertThat(watch.look(3, nowMs, false, false, nowMs)).isFalse();
    }
  }

  @Test
  public void seatWithoutRenewalIsTakenAfterItsTimeAndTheOwnDelay() {
    VacancyWatch watch = new VacancyWatch(200);
    watch.look(3, 50, false, false, 1000);
    long due = 1000 + LeadershipTiming.VACANT_MS + 200;
    assertThat(watch.look(3, 50, false, false, due - 1)).isFalse();
    assertThat(watch.look(3, 50, false, false, due)).isTrue();
  }

  @Test
  public void seatOfAnEarlierLifeIsTakenAtOnceAndAnEmptyOneAfterTheOwnDelay() {
    VacancyWatch watch = new VacancyWatch(300);
    assertThat(watch.look(0, 0, false, false, 0)).isFalse();
    assertThat(watch.look(0, 0, false, false, 300)).isTrue();
    assertThat(new VacancyWatch(300).look(4, 9, true, false, 0)).isTrue();
  }

  @Test
  public void whenNothingListensThereOnlyTheOwnDelayCounts() {
    VacancyWatch watch = new VacancyWatch(300);
    assertThat(watch.look(4, 9, false, true, 0)).isFalse();
    assertThat(watch.look(4, 9, false, true, 300)).isTrue();
  }
}
