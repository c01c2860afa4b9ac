package org.foxtailford.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.testng.annotations.Test;

/** Replays bursts on one entry VM with a fixed number of slots, on a fake clock. */
public class WaitingReplayTests {

  private static final long WORK_MS = 100;
  private static final long AIM_MS = 500;
  private static final long DEADLINE_MS = 2000;

  /** What became of the requests of a replay. */
  private static final class Result {
    private int inAim;
    private int late;
    private int refusedAtOnce;
    private int refusedEarly;
    private int refusedLate;
    private long longestHeldMs;
  }

  /** Serves requests in the order of a comparator made for each moment. */
  private static Result replay(int slots, int perSecond, int seconds, boolean byArrival) {
    Random random = new Random(11);
    QueueAdmissionPolicy room = new QueueAdmissionPolicy(256);
    RateMeter rate = new RateMeter();
    List<WaitingRequest> queue = new ArrayList<>();
    List<Long> busyUntil = new ArrayList<>();
    Result result = new Result();
    for (long nowMs = 0; nowMs < seconds * 1000L; nowMs++) {
      long now = nowMs;
      busyUntil.removeIf(until -> until <= now);
      if (random.nextInt(1000) < perSecond) {
        WaitingRequest request =
            new WaitingRequest(random.nextInt(2), now, now + AIM_MS, now + DEADLINE_MS);
        long until = room.waitsUntilMs(request, WORK_MS);
        boolean free = busyUntil.size() < slots && queue.isEmpty();
        if (free || room.mayWait(queue.size(), rate.perSecond(now), until, now)) {
          queue.add(request);
        } else {
          result.refusedAtOnce++;
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
          result.inAim++;
        } else {
          result.late++;
        }
      }
      for (int i = 0; i < queue.size(); i++) {
        long until = room.waitsUntilMs(queue.get(i), WORK_MS);
        if (room.isExpectedTooLate(i, rate.perSecond(now), until, now)) {
          result.longestHeldMs =
              Math.max(result.longestHeldMs, now - queue.remove(i--).arrivedMs());
          result.refusedEarly++;
        }
      }
      queue.removeIf(
          request -> {
            boolean over = now >= room.waitsUntilMs(request, WORK_MS);
            if (over) {
              result.refusedLate++;
              result.longestHeldMs = Math.max(result.longestHeldMs, now - request.arrivedMs());
            }
            return over;
          });
    }
    return result;
  }

  @Test
  public void burstAtTwiceTheCapacityIsServedInItsAimAndTheRestIsRefusedEarly() {
    Result result = replay(8, 160, 20, false);
    int capacity = 8 * 1000 / (int) WORK_MS * 20;
    assertThat(result.inAim).isGreaterThan((int) (0.9 * capacity));
    assertThat(result.late).isLessThan(result.inAim / 20);
    int refused = result.refusedAtOnce + result.refusedEarly;
    assertThat(refused).isGreaterThan(4 * result.refusedLate);
  }

  @Test
  public void noRequestIsHeldForMoreThanItsPartOfTheAim() {
    Result result = replay(4, 200, 20, false);
    assertThat(result.longestHeldMs)
        .isLessThanOrEqualTo((long) (QueueAdmissionPolicy.MAX_WAIT_SHARE * AIM_MS));
  }

  @Test
  public void loadBelowTheCapacityIsNeverRefused() {
    Result result = replay(8, 50, 20, false);
    assertThat(result.refusedAtOnce + result.refusedLate).isZero();
  }

  @Test
  public void requestsThatCanStillMeetTheirAimGoFirst() {
    WaitingRequest late = new WaitingRequest(0, 0, 100, 2000);
    WaitingRequest urgent = new WaitingRequest(1, 0, 300, 2000);
    WaitingRequest later = new WaitingRequest(1, 0, 900, 2000);
    WaitingRequest ranked = new WaitingRequest(0, 0, 900, 2000);
    List<WaitingRequest> queue = new ArrayList<>(List.of(late, later, urgent, ranked));
    queue.sort(new WaitingRequestComparator(50, 100));
    assertThat(queue).containsExactly(ranked, urgent, later, late);
  }

  @Test
  public void refusedCallersComeBackWithinWhatTheyHeed() {
    QueueAdmissionPolicy room = new QueueAdmissionPolicy(16);
    assertThat(room.retryAfterMs(100, 10, 900, 0.5)).isLessThanOrEqualTo(300);
    assertThat(room.retryAfterMs(0, 100, 900, 0.5)).isBetween(10L, 60L);
    assertThat(room.retryAfterMs(5, 10, 30, 0.5)).isLessThanOrEqualTo(10);
    assertThat(room.retryAfterMs(0, 0, 900, 0.5)).isGreaterThan(200);
  }

  @Test
  public void fullRoomRefuses() {
    QueueAdmissionPolicy room = new QueueAdmissionPolicy(4);
    assertThat(room.mayWait(4, 1000, 500, 0)).isFalse();
    assertThat(room.mayWait(3, 1000, 500, 0)).isTrue();
    assertThat(room.mayWait(3, 1, 500, 0)).isFalse();
  }
}
