package org.foxtailford.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Replays bursts on one entry VM with a fixed number of slots, using a simulated clock. */
public class WaitingReplayTests {

  private static final long WORK_MS = 100;
  private static final long TARGET_LATENCY_MS = 500;
  private static final long DEADLINE_MS = 2000;

  /** Outcome of the requests of a replay. */
  private static final class Result {
    private int onTime;
    private int late;
    private int rejectedOnArrival;
    private int rejectedEarly;
    private int rejectedLate;
    private long maxWaitMs;
  }

  /**
   * Replays random arrivals in steps of one millisecond.
   *
   * @param byArrival whether requests are served in order of arrival instead of by the comparator
   */
  private static Result replay(int slots, int perSecond, int seconds, boolean byArrival) {
    Random random = new Random(11);
    QueueAdmissionPolicy policy = new QueueAdmissionPolicy(256);
    RateMeter rate = new RateMeter();
    List<WaitingRequest> queue = new ArrayList<>();
    List<Long> busyUntil = new ArrayList<>();
    Result result = new Result();
    for (long nowMs = 0; nowMs < seconds * 1000L; nowMs++) {
      long now = nowMs;
      busyUntil.removeIf(until -> until <= now);
      if (random.nextInt(1000) < perSecond) {
        WaitingRequest request =
            new WaitingRequest(random.nextInt(2), now, now + TARGET_LATENCY_MS, now + DEADLINE_MS);
        long until = policy.waitsUntilMs(request, WORK_MS);
        boolean free = busyUntil.size() < slots && queue.isEmpty();
        if (free || policy.mayWait(queue.size(), rate.perSecond(now), until, now)) {
          queue.add(request);
        } else {
          result.rejectedOnArrival++;
        }
      }
      queue.sort(
          byArrival
              ? Comparator.comparingLong(WaitingRequest::arrivedMs)
              : new WaitingRequestComparator(now, WORK_MS));
      while (!queue.isEmpty() && busyUntil.size() < slots) {
        WaitingRequest next = queue.remove(0);
        rate.count(now);
        long doneMs = now + WORK_MS / 2 + random.nextInt((int) WORK_MS);
        busyUntil.add(doneMs);
        if (doneMs <= next.targetAtMs()) {
          result.onTime++;
        } else {
          result.late++;
        }
      }
      for (int i = 0; i < queue.size(); i++) {
        long until = policy.waitsUntilMs(queue.get(i), WORK_MS);
        if (policy.isExpectedTooLate(i, rate.perSecond(now), until, now)) {
          result.maxWaitMs = Math.max(result.maxWaitMs, now - queue.remove(i--).arrivedMs());
          result.rejectedEarly++;
        }
      }
      queue.removeIf(
          request -> {
            boolean hasExpired = now >= policy.waitsUntilMs(request, WORK_MS);
            if (hasExpired) {
              result.rejectedLate++;
              result.maxWaitMs = Math.max(result.maxWaitMs, now - request.arrivedMs());
            }
            return hasExpired;
          });
    }
    return result;
  }

  @Test
  public void overloadAtTwiceTheCapacityIsServedOnTimeAndTheRestIsRejectedEarly() {
    Result result = replay(8, 160, 20, false);
    int capacity = 8 * 1000 / (int) WORK_MS * 20;
    assertThat(result.onTime).isGreaterThan((int) (0.9 * capacity));
    assertThat(result.late).isLessThan(result.onTime / 20);
    int rejected = result.rejectedOnArrival + result.rejectedEarly;
    assertThat(rejected).isGreaterThan(4 * result.rejectedLate);
  }

  @Test
  public void noRequestWaitsLongerThanItsShareOfTheLatencyTarget() {
    Result result = replay(4, 200, 20, false);
    assertThat(result.maxWaitMs)
        .isLessThanOrEqualTo((long) (QueueAdmissionPolicy.MAX_WAIT_SHARE * TARGET_LATENCY_MS));
  }

  @Test
  public void loadBelowTheCapacityIsNeverRejected() {
    Result result = replay(8, 50, 20, false);
    assertThat(result.rejectedOnArrival + result.rejectedLate).isZero();
  }

  @Test
  public void requestsThatCanStillMeetTheirTargetGoFirst() {
    WaitingRequest late = new WaitingRequest(0, 0, 100, 2000);
    WaitingRequest urgent = new WaitingRequest(1, 0, 300, 2000);
    WaitingRequest later = new WaitingRequest(1, 0, 900, 2000);
    WaitingRequest highPriority = new WaitingRequest(0, 0, 900, 2000);
    List<WaitingRequest> queue = new ArrayList<>(List.of(late, later, urgent, highPriority));
    queue.sort(new WaitingRequestComparator(50, 100));
    assertThat(queue).containsExactly(highPriority, urgent, later, late);
  }

  @Test
  public void retryDelayIsAtMostAThirdOfTheRemainingTime() {
    QueueAdmissionPolicy policy = new QueueAdmissionPolicy(16);
    assertThat(policy.retryAfterMs(100, 10, 900, 0.5)).isLessThanOrEqualTo(300);
    assertThat(policy.retryAfterMs(0, 100, 900, 0.5)).isBetween(10L, 60L);
    assertThat(policy.retryAfterMs(5, 10, 30, 0.5)).isLessThanOrEqualTo(10);
    assertThat(policy.retryAfterMs(0, 0, 900, 0.5)).isGreaterThan(200);
  }

  @Test
  public void fullOrSlowQueueRejectsRequests() {
    QueueAdmissionPolicy policy = new QueueAdmissionPolicy(4);
    assertThat(policy.mayWait(4, 1000, 500, 0)).isFalse();
    assertThat(policy.mayWait(3, 1000, 500, 0)).isTrue();
    assertThat(policy.mayWait(3, 1, 500, 0)).isFalse();
  }
}
