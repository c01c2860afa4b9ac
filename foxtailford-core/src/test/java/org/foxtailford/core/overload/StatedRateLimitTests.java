package org.foxtailford.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class StatedRateLimitTests {

  /** Documented time after a limit is first named from which it binds, in milliseconds. */
  private static final long CONTACT_MS = 3000;

  /** Documented length of the window in which requests are counted, in milliseconds. */
  private static final long WINDOW_MS = 4000;

  private StatedRateLimit limit;

  @BeforeMethod
  public void create() {
    limit = new StatedRateLimit(() -> 0.5);
  }

  @Test
  public void eachVmSendsItsShareFromARandomMomentOn() {
    limit.record(4, 8, 1000);
    assertThat(limit.nextSendMs(8, 1000)).isEqualTo(2000);
    limit.recordSend(2000);
    assertThat(limit.nextSendMs(8, 2000)).isEqualTo(4000);
    assertThat(limit.nextSendMs(4, 2000)).isEqualTo(3000);
  }

  @Test
  public void lowerAndHigherLimitsApplyAtOnce() {
    limit.record(10, 1, 1000);
    limit.recordSend(1100);
    limit.record(2, 1, 1200);
    assertThat(limit.nextSendMs(1, 1200)).isEqualTo(1600);
    limit.record(100, 1, 1300);
    assertThat(limit.nextSendMs(1, 1300)).isEqualTo(1300);
  }

  @Test
  public void limitEndsWithAnAnswerWithoutItUnlessThatWasOvertaken() {
    limit.record(1, 1, 1000);
    limit.recordSend(1000);
    assertThat(limit.recordNone(1100)).isFalse();
    assertThat(limit.nextSendMs(1, 1100)).isGreaterThan(1100);
    assertThat(limit.recordNone(1300)).isTrue();
    assertThat(limit.recordNone(1301)).isFalse();
    assertThat(limit.nextSendMs(1, 1300)).isEqualTo(1300);
  }

  @Test
  public void limitIsForgottenWithoutAnyAnswerForLong() {
    limit.record(1, 1, 0);
    assertThat(limit.isInForce(1, 9999)).isTrue();
    assertThat(limit.isInForce(1, 10_000)).isFalse();
  }

  @Test
  public void upstreamThatTakesNothingIsAskedRarely() {
    limit.record(0, 9, 0);
    limit.recordSend(0);
    assertThat(limit.nextSendMs(9, 0)).isEqualTo(45_000);
    assertThat(limit.isInForce(9, 80_000)).isTrue();
  }

  @Test
  public void hugeLimitHoldsNothingBack() {
    limit.record(999_999_999, 9, 1000);
    limit.recordSend(1000);
    assertThat(limit.nextSendMs(9, 1000)).isEqualTo(1000);
  }

  @DataProvider
  public Object[][] systems() {
    return new Object[][] {{9, 4.1}, {9, 6.1}, {9, 2.4}, {10, 0.0}, {59, 5.0}, {95, 5.0}};
  }

  // LIMIT on emee-xela: VMs with 14 requests a second for one owner, told at different moments.
  @Test(dataProvider = "systems")
  public void allVmsTogetherKeepTheLimitUnderLoad(int vms, double perSecond) {
    for (long seed = 0; seed < 50; seed++) {
      List<Long> sentMs = sendsAfterContact(vms, perSecond, new Random(seed));
      long allowed = (long) (1.5 * perSecond * WINDOW_MS / 1000 + 5);
      for (long beginMs : sentMs) {
        long inWindow =
            sentMs.stream().filter(t -> t >= beginMs && t < beginMs + WINDOW_MS).count();
        assertThat(inWindow).as("seed %d", seed).isLessThanOrEqualTo(allowed);
      }
    }
  }

  /** Returns when the VMs send, if each always has a request; answers take 200 ms. */
  private static List<Long> sendsAfterContact(int vms, double perSecond, Random random) {
    List<StatedRateLimit> limits = new ArrayList<>();
    List<Long> answersMs = new ArrayList<>();
    for (int vm = 0; vm < vms; vm++) {
      limits.add(new StatedRateLimit(random::nextDouble));
      answersMs.add((long) random.nextInt(1500));
    }
    List<Long> sentMs = new ArrayList<>();
    for (long nowMs = 0; nowMs < 20_000; nowMs += 10) {
      for (int vm = 0; vm < vms; vm++) {
        StatedRateLimit limit = limits.get(vm);
        if (answersMs.get(vm) >= 0 && nowMs >= answersMs.get(vm)) {
          limit.record(perSecond, vms, nowMs);
          answersMs.set(vm, -1L);
        }
        boolean told = limit.isInForce(vms, nowMs);
        if (told && limit.nextSendMs(vms, nowMs) <= nowMs) {
          limit.recordSend(nowMs);
          answersMs.set(vm, nowMs + 200);
          if (nowMs >= CONTACT_MS) {
            sentMs.add(nowMs);
          }
        }
      }
    }
    return sentMs;
  }
}
