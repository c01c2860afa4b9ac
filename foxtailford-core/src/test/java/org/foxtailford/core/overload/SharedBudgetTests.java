package org.foxtailford.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/**
 * Tests rates and budgets that entry VMs share without exchanging messages, and the shutdown plan.
 */
public class SharedBudgetTests {

  private static final int VMS = 9;
  private static final long WINDOW_MS = 10_000;

  @Test
  public void retryStormStaysWithinTheBoundForAllVms() {
    List<WindowedRetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      budgets.add(new WindowedRetryBudget(0.2, 60, WINDOW_MS));
    }
    Random random = new Random(3);
    List<Long> requests = new ArrayList<>();
    List<Long> retries = new ArrayList<>();
    for (long nowMs = 0; nowMs < 60_000; nowMs += 5) {
      WindowedRetryBudget budget = budgets.get(random.nextInt(VMS));
      budget.recordRequest("s", nowMs);
      requests.add(nowMs);
      if (budget.tryRetry("s", VMS, nowMs)) {
        retries.add(nowMs);
      }
    }
    for (long from = 0; from < 50_000; from += 500) {
      long begin = from;
      long requestCount =
          requests.stream().filter(t -> t >= begin && t < begin + WINDOW_MS).count();
      long sent = retries.stream().filter(t -> t >= begin && t < begin + WINDOW_MS).count();
      assertThat(sent)
          .as("window from %d", begin)
          .isLessThanOrEqualTo((long) (0.2 * requestCount) + 60);
    }
    assertThat(retries.size()).isGreaterThan(requests.size() / 10);
  }

  // BUDGET: retries of less than a window ago were no longer counted.
  @Test
  public void retriesOfTwoShortOutagesStayWithinTheBoundForAllVms() {
    List<WindowedRetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < VMS; i++) {
      budgets.add(new WindowedRetryBudget(0.2, 60, WINDOW_MS));
    }
    long firstMs = 20_500;
    long secondMs = firstMs + WINDOW_MS - 500;
    int requestsInWindow = 0;
    int retries = 0;
    for (long nowMs = 0; nowMs < firstMs + WINDOW_MS; nowMs += 10) {
      WindowedRetryBudget budget = budgets.get((int) (nowMs / 10 % VMS));
      budget.recordRequest("s", nowMs);
      requestsInWindow += nowMs < WINDOW_MS ? 1 : 0;
      boolean outage = nowMs >= firstMs && nowMs < firstMs + 1100 || nowMs >= secondMs;
      for (int i = 0; outage && i < 2; i++) {
        retries += budget.tryRetry("s", VMS, nowMs) ? 1 : 0;
      }
    }
    assertThat(retries)
        .as("retries in the window from %d", firstMs)
        .isLessThanOrEqualTo((int) (0.2 * requestsInWindow) + 60);
  }

  @Test
  public void coldUpstreamReceivesAtMostItsRateFromAllVms() {
    List<String> vms = new ArrayList<>();
    List<ColdUpstreamRateLimiter> limiters = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      vms.add("vm" + i);
      limiters.add(new ColdUpstreamRateLimiter("vm" + i));
    }
    List<Long> sent = new ArrayList<>();
    for (long nowMs = 0; nowMs < 5000; nowMs += 10) {
      for (ColdUpstreamRateLimiter limiter : limiters) {
        if (limiter.maySend("u", 8, vms, nowMs)) {
          limiter.recordSend("u", 8, vms, nowMs);
          sent.add(nowMs);
        }
      }
    }
    for (long from = 0; from < 4000; from += 100) {
      long begin = from;
      assertThat(sent.stream().filter(t -> t >= begin && t < begin + 1000).count())
          .isLessThanOrEqualTo(8);
    }
    assertThat(sent).hasSizeGreaterThan(30);
  }

  @Test
  public void singleVmUsesTheWholeColdRate() {
    ColdUpstreamRateLimiter limiter = new ColdUpstreamRateLimiter("vm");
    int sent = 0;
    for (long nowMs = 0; nowMs < 10_000; nowMs += 10) {
      if (limiter.maySend("u", 8, List.of("vm"), nowMs)) {
        limiter.recordSend("u", 8, List.of("vm"), nowMs);
        sent++;
      }
    }
    assertThat(sent).isBetween(70, 81);
  }
}
