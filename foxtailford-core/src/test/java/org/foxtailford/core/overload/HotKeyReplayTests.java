package org.foxtailford.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.foxtailford.core.upstream.LoadReport;
import org.foxtailford.core.upstream.UpstreamLoad;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays a hot key whose owner can serve only a small part of the requests that many entry VMs
 * receive. The owner rejects requests beyond its queue; each entry VM knows only its own requests
 * and load reports.
 */
public class HotKeyReplayTests {

  private static final int SLOTS = 4;
  private static final int QUEUE = 16;
  private static final long WORK_MS = 280;
  private static final int SECONDS = 10;

  /** Requests of one VM at the owner, as a multiple of its slots; the same as in the entry VM. */
  private static final double MAX_OWNER_LOAD_FACTOR = 1.75;

  /** Outcome of the sends of a replay. */
  private static final class Result {
    private int completed;
    private int rejected;
  }

  private record RunningRequest(int vm, long endMs) {}

  private static final class Owner {
    private final Random random;
    private final List<RunningRequest> running = new ArrayList<>();
    private final List<Integer> waiting = new ArrayList<>();

    Owner(Random random) {
      this.random = random;
    }

    void startWaiting(long nowMs) {
      while (running.size() < SLOTS && !waiting.isEmpty()) {
        long workMs = WORK_MS / 2 + random.nextInt((int) WORK_MS);
        running.add(new RunningRequest(waiting.remove(0), nowMs + workMs));
      }
    }

    LoadReport report() {
      return new LoadReport(running.size(), waiting.size(), SLOTS, 1);
    }
  }

  private static Result replay(int vms, int perSecond, boolean paced) {
    Random random = new Random(7);
    Owner owner = new Owner(random);
    List<UpstreamLoad> loads = new ArrayList<>();
    List<SendPacer> pacers = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      loads.add(new UpstreamLoad(SLOTS));
      pacers.add(new SendPacer(random::nextDouble));
    }
    double intervalMs = SendPacer.intervalMs(WORK_MS, SLOTS, vms);
    Result result = new Result();
    for (long nowMs = 0; nowMs < SECONDS * 1000L; nowMs++) {
      long now = nowMs;
      List<RunningRequest> ended =
          owner.running.stream().filter(request -> request.endMs() <= now).toList();
      owner.running.removeAll(ended);
      owner.startWaiting(now);
      for (RunningRequest request : ended) {
        result.completed++;
        loads.get(request.vm()).recordEnd(now);
        loads.get(request.vm()).recordReport(owner.report(), now);
        pacers.get(request.vm()).recordReport(owner.report(), intervalMs, now);
      }
      if (random.nextInt(1000) >= perSecond) {
        continue;
      }
      int vm = random.nextInt(vms);
      UpstreamLoad load = loads.get(vm);
      boolean hasCapacity = load.occupied(now) + 1 <= MAX_OWNER_LOAD_FACTOR * SLOTS;
      if (!hasCapacity || paced && pacers.get(vm).nextSendMs(now) > now) {
        continue;
      }
      pacers.get(vm).recordSend(intervalMs, now);
      if (owner.waiting.size() >= QUEUE) {
        result.rejected++;
        pacers.get(vm).recordFull(intervalMs, now);
      } else {
        load.recordSend(now);
        owner.waiting.add(vm);
        owner.startWaiting(now);
      }
    }
    return result;
  }

  @DataProvider
  public Object[][] vmsAndRates() {
    return new Object[][] {{9, 60}, {20, 100}, {60, 140}, {85, 300}};
  }

  @Test(dataProvider = "vmsAndRates")
  public void pacingKeepsTheOwnerBusyWithFewRejections(int vms, int perSecond) {
    Result result = replay(vms, perSecond, true);
    double capacity = 1000.0 * SECONDS * SLOTS / WORK_MS;
    assertThat(result.completed)
        .as("completed, with a capacity of %s", capacity)
        .isGreaterThan((int) (0.85 * capacity));
    int probes = vms; // each VM may need one rejected request to detect that the owner is full
    assertThat(result.rejected).as("rejected").isLessThan(probes + (int) (0.35 * result.completed));
  }

  /** Shows that the replayed load is high enough for pacing to make a difference. */
  @Test
  public void withoutPacingFarMoreSendsAreRejected() {
    assertThat(replay(60, 140, false).rejected).isGreaterThan(4 * replay(60, 140, true).rejected);
  }

  @Test
  public void pacingEndsAsSoonAsTheOwnerReportsFreeSlots() {
    SendPacer pacer = new SendPacer(() -> 0.5);
    pacer.recordFull(4000, 0);
    assertThat(pacer.nextSendMs(100)).isEqualTo(2000);
    pacer.recordReport(new LoadReport(3, 0, SLOTS, 1), 4000, 100);
    assertThat(pacer.nextSendMs(100)).isEqualTo(100);
  }
}
