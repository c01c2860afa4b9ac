package org.foxtailford.core.poison;

import static org.assertj.core.api.Assertions.assertThat;

import org.foxtailford.core.poison.LossLog.Loss;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class LossLogTests {

  private static final PoisonLimits LIMITS = new PoisonLimits(2, 3, 1000, 3, 100, 1000);

  private long nowMs;
  private LossLog log;

  @BeforeMethod
  public void create() {
    nowMs = 10_000;
    log = new LossLog(LIMITS, () -> nowMs);
  }

  @Test
  public void lossThatComesBackIsKnown() {
    assertThat(log.add(new Loss("u1", 7), nowMs)).isTrue();
    assertThat(log.add(new Loss("u1", 7), nowMs)).isFalse();
    assertThat(log.add(new Loss("u1", 8), nowMs)).isTrue();
    assertThat(log.after(1)).extracting(LossLog.Entry::loss).containsExactly(new Loss("u1", 8));
    assertThat(log.after(log.lastNumber())).isEmpty();
  }

  @Test
  public void expiredLossIsForgottenAndNotTakenUpAgain() {
    log.add(new Loss("u1", 7), nowMs - 500);
    nowMs += 501;
    assertThat(log.after(0)).isEmpty();
    assertThat(log.add(new Loss("u1", 7), nowMs - 1001)).isFalse();
  }

  @Test
  public void oldestLossesLeaveAFullLog() {
    for (long fingerprint = 0; fingerprint < 5; fingerprint++) {
      log.add(new Loss("u1", fingerprint), nowMs);
    }
    assertThat(log.after(0))
        .extracting(entry -> entry.loss().fingerprint())
        .containsExactly(2L, 3L, 4L);
  }
}
