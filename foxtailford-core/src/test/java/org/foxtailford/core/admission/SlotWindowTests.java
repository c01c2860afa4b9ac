package org.foxtailford.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.Test;

public class SlotWindowTests {

  @Test
  public void startsAtAnEvenShareAndGrowsToAllSlotsWithoutCompetition() {
    SlotWindow window = new SlotWindow(6, 3);
    assertThat(window.size()).isEqualTo(2);
    for (int round = 0; round < 40; round++) {
      int taken = 0;
      while (window.tryAcquire(0)) {
        taken++;
      }
      for (int i = 0; i < taken; i++) {
        window.release(true);
      }
    }
    assertThat(window.size()).isEqualTo(6);
  }

  @Test
  public void rejectionsShrinkTheWindowAndThenDoubleThePause() {
    SlotWindow window = new SlotWindow(6, 1);
    long nowMs = 0;
    while (window.size() > 1) {
      assertThat(window.tryAcquire(nowMs)).isTrue();
      window.releaseRejected(nowMs);
    }
    window.tryAcquire(nowMs);
    window.releaseRejected(nowMs);
    assertThat(window.hasFreeSlot(nowMs + 19)).isFalse();
    assertThat(window.tryAcquire(nowMs + 20)).isTrue();
    window.releaseRejected(nowMs + 20);
    assertThat(window.hasFreeSlot(nowMs + 59)).isFalse();
    assertThat(window.hasFreeSlot(nowMs + 60)).isTrue();
  }

  @Test
  public void idleWindowDoesNotGrow() {
    SlotWindow window = new SlotWindow(6, 2);
    for (int i = 0; i < 100; i++) {
      window.tryAcquire(0);
      window.release(true);
    }
    assertThat(window.size()).isEqualTo(3);
  }
}
