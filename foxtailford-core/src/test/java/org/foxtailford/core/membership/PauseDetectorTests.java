package org.foxtailford.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.foxtailford.core.membership.PauseDetector.Pause;
import org.testng.annotations.Test;

public class PauseDetectorTests {

  private final AtomicLong elapsedMs = new AtomicLong();
  private final AtomicLong wallClockMs = new AtomicLong(1_000_000);
  private final PauseDetector detector = new PauseDetector(elapsedMs::get, wallClockMs::get, 500);

  @Test
  public void regularCallsAreNotAPause() {
    for (int i = 0; i < 10; i++) {
      elapsedMs.addAndGet(200);
      wallClockMs.addAndGet(200);
      assertThat(detector.check()).isEqualTo(new Pause(0, 0));
    }
  }

  @Test
  public void gapInElapsedTimeIsAPause() {
    detector.check();
    elapsedMs.addAndGet(900);
    wallClockMs.addAndGet(900);
    assertThat(detector.check()).isEqualTo(new Pause(900, 0));
  }

  @Test
  public void gapThatOnlyTheWallClockShowsIsAPause() {
    detector.check();
    wallClockMs.addAndGet(5000);
    assertThat(detector.check()).isEqualTo(new Pause(5000, 5000));
  }
}
