package org.foxtailford.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class PauseAwareClockTests {

  private final AtomicLong elapsedMs = new AtomicLong();
  private final AtomicLong timeOfDayMs = new AtomicLong();
  private PauseAwareClock clock;

  @BeforeMethod
  public void begin() {
    elapsedMs.set(1000);
    timeOfDayMs.set(1_000_000);
    clock = new PauseAwareClock(elapsedMs::get, timeOfDayMs::get, 700);
  }

  @Test
  public void timeOfAPauseCountsOnce() {
    advance(500, 500);
    assertThat(clock.nowMs()).isEqualTo(1500);
    advance(0, 4000);
    assertThat(clock.nowMs()).isEqualTo(5500);
    assertThat(clock.nowMs()).isEqualTo(5500);
    assertThat(clock.totalPauseMs()).isEqualTo(4000);
    advance(100, 100);
    assertThat(clock.nowMs()).isEqualTo(5600);
  }

  @Test
  public void smallDifferencesAndATimeOfDaySetBackAreNoPause() {
    for (int i = 0; i < 10; i++) {
      advance(100, 300);
      assertThat(clock.totalPauseMs()).isZero();
    }
    advance(100, -5000);
    assertThat(clock.totalPauseMs()).isZero();
    assertThat(clock.nowMs()).isEqualTo(2100);
  }

  private void advance(long elapsed, long timeOfDay) {
    elapsedMs.addAndGet(elapsed);
    timeOfDayMs.addAndGet(timeOfDay);
  }
}
