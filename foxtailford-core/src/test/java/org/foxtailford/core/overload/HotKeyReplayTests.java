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
 * Replays a hot key whose owner can do a small part of what many entry VMs are asked for. The owner
 * turns requests away beyond its queue; each entry VM knows only its own requests and reports.
 */
public class HotKeyReplayTests {

  private static final int SLOTS = 4;
  private static final int QUEUE = 16;
  private static final long WORK_MS = 280;
  private static final int SECONDS = 10;

  /** Requests of one VM that the owner may have, in times of its slots; as in the entry VM. */
  private static final double OWNER_ROOM = 1.75;

  /** What became of the sends of a replay. */
  private static final class Result {
    private int done;
    private int shed;
  }

  private record Work(int vm, long endMs) {}

  private static final class Owner {
    private final Random random;
    private final List<Work> running = new ArrayList<>();
    private final List<Integer> waiting = new ArrayList<>();

    Owner(Random random) {
      this.random = random;
    }

    void begin(long nowMs) {
      while (running.size() < SLOTS && !waiting.isEmpty()) {
        long workMs = WORK_MS / 2 + random.nextInt((int) WORK_MS);
        running.add(new Work(waiting.remove(0), nowMs + workMs));
      }
    }

    LoadReport report() {
      return new LoadReport(running.size(), waiting.size(), SLOTS, 1);
    }
  }

  private static Result replay(int vms, int perSecond, boolean withTurns) {
    Random random = new Random(7);
    Owner owner = new Owner(random);
    List<UpstreamLoad> loads = new ArrayList<>();
    List<SendPacer> turns = new ArrayList<>();
    for (int i = 0; i < vms; i++) {
      loads.add(new UpstreamLoad(SLOTS));
      turns.add(new SendPacer(random::nextDouble));
    }
    double intervalMs = SendPacer.intervalMs(WORK_MS, SLOTS, vms);
    Result result = new Result();
    for (long nowMs = 0; nowMs < SECONDS * 1000L; nowMs++) {
      long now = nowMs;
      List<Work> ended = owner.running.stream().filter(work -> work.endMs() <= now).toList();
      owner.running.removeAll(ended);
      owner.begin(now);
      for (Work work : ended) {
        result.done++;
        loads.get(work.vm()).recordEnd(now);
        loads.get(work.vm()).recordReport(owner.report(), now);
        turns.get(work.vm()).recordReport(owner.report(), intervalMs, now);
      }
      if (random.nextInt(1000) >= perSecond) {
        continue;
      }
      int vm = random.nextInt(vms);
      UpstreamLoad load = loads.get(vm);
      boolean room = load.occupied(now) + 1 <= OWNER_ROOM * SLOTS;
      if (!room || withTurns && turns.get(vm).nextSendMs(now) > now) {
        continue;
      }
      turns.get(vm).recordSend(intervalMs, now);
      if (owner.waiting.size() >= QUEUE) {
        result.shed++;
        turns.get(vm).recordFull(intervalMs, now);
      } else {
        load.recordSend(now);
        owner.waiting.add(vm);
        owner.begin(now);
      }
    }
    return result;
  }

  @DataProvider
  public Object[][] fleets() {
    return new Object[][] {{9, 60}, {20, 100}, {60, 140}, {85, 300}};
  }

  @Test(dataProvider = "fleets")
  public void theOwnerIsKeptBusyAndTurnsFewAway(int vms, int perSecond) {
    Result result = replay(vms, perSecond, true);
    double capacity = 1000.0 * SECONDS * SLOTS / WORK_MS;
    assertThat(result.done).as("done of %s", capacity).isGreaterThan((int) (0.85 * capacity));
    int foundOut = vms; // each VM may learn by one request that the owner is full
    assertThat(result.shed).as("turned away").isLessThan(foundOut + (int) (0.35 * result.done));
  }

  /** Shows that the replay presses hard enough to tell the two apart. */
  @Test
  public void withoutTurnsMostSendsAreTurnedAway() {
    assertThat(replay(60, 140, false).shed).isGreaterThan(4 * replay(60, 140, true).shed);
  }

  @Test
  public void anOwnerWithRoomIsSentToAtOnce() {
    SendPacer turns = new SendPacer(() -> 0.5);
    turns.recordFull(4000, 0);
    assertThat(turns.nextSendMs(100)).isEqualTo(2000);
    turns.recordReport(new LoadReport(3, 0, SLOTS, 1), 4000, 100);
    assertThat(turns.nextSendMs(100)).isEqualTo(100);
  }
}
