package org.foxtailford.core.range;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * One random schedule of faults on real keepers: upstreams that crash, come back and lose their
 * registration, orders that are lost, unreached or carried out seconds later, clocks of upstreams
 * that run slow, and leaders that follow each other while the last one still renews.
 */
final class OwnershipSchedule {

  private static final int UPSTREAMS = 4;
  private static final int SAMPLES = 64;
  private static final long LENGTH_MS = 30_000;

  private final Random random;
  private final RangeTiming timing;
  private final double clockError;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::order));
  private final Map<String, Process> processes = new HashMap<>();
  private final Set<String> registered = new HashSet<>();
  private final long[] highestFence = new long[SAMPLES];
  private final RangeOwner[] lastOwner = new RangeOwner[SAMPLES];
  private final List<String> violations = new ArrayList<>();
  private RangeMap stored = RangeMap.EMPTY;
  private long storedVersion;
  private long term;
  private long order;
  private long nowMs;
  private int served;

  private record Event(long atMs, long order, Runnable action) {}

  /** A life of an upstream, with the keys that it holds. */
  private static final class Process {
    private final RangeOwner owner;
    private final double clockRate;
    private final long[] seen = new long[SAMPLES];
    private final long[] holdUntilMs = new long[SAMPLES];

    /** Returns the number of the connection to it, another one for each life. */
    long session() {
      return owner.bornMs();
    }

    Process(RangeOwner owner, double clockRate) {
      this.owner = owner;
      this.clockRate = clockRate;
    }
  }

  /** One leader with its keeper. */
  private final class Leader {
    private final long myTerm = ++term;
    private final RangeController keeper;
    private long confirmedMs = nowMs;
    private long fences;

    Leader(long othersHoldUntilMs) {
      keeper =
          new RangeController(
              timing,
              () -> myTerm * 1_000_000 + ++fences,
              new KeyLoadHistory(),
              stored,
              othersHoldUntilMs);
    }

    void tick() {
      if (myTerm == term) {
        confirmedMs = nowMs;
      }
      if (nowMs - confirmedMs < LeadershipTiming.GRANT_RENEWAL_WINDOW_MS) {
        List<RangeCandidate> candidates = new ArrayList<>();
        for (String id : registered) {
          candidates.add(new RangeCandidate(processes.get(id).owner, 4, false));
        }
        for (RangeCommand next : keeper.nextCommands(candidates, true, nowMs)) {
          carryOut(next);
        }
        at(nowMs + 50, this::tick);
      }
    }

    private void carryOut(RangeCommand next) {
      if (next instanceof RangeCommand.Grant) {
        grant((RangeCommand.Grant) next);
      } else if (next instanceof RangeCommand.Release) {
        release((RangeCommand.Release) next);
      } else {
        write((RangeCommand.Write) next);
      }
    }

    private void write(RangeCommand.Write write) {
      at(
          nowMs + 5 + random.nextInt(40),
          () -> {
            boolean mine = myTerm == term && write.expectedVersion() == stored.version();
            if (mine) {
              stored = new RangeMap(++storedVersion, write.assignments());
              keeper.onWritten(write, storedVersion, nowMs);
            }
          });
    }

    private void grant(RangeCommand.Grant grant) {
      Process process = processes.get(grant.assignment().owner().upstream());
      if (grant.session().isPresent() && grant.session().getAsLong() != process.session()) {
        at(nowMs, () -> told(grant, CommandOutcome.UNREACHED, process));
        return;
      }
      int fate = random.nextInt(100);
      long arrival = nowMs + random.nextInt((int) timing.callTimeoutMs() / 2);
      if (fate < 8) {
        at(nowMs + 300, () -> told(grant, CommandOutcome.UNREACHED, process));
      } else if (fate < 16) {
        long late = arrival + (fate < 12 ? 2000 + random.nextInt(10_000) : 0);
        at(late, () -> apply(process, grant.assignment(), arrival));
        at(nowMs + timing.callTimeoutMs(), () -> told(grant, CommandOutcome.UNKNOWN, process));
      } else {
        at(
            arrival,
            () -> {
              CommandOutcome outcome = apply(process, grant.assignment(), arrival);
              at(
                  arrival + random.nextInt((int) timing.callTimeoutMs() / 2),
                  () -> told(grant, outcome, process));
            });
      }
    }

    private void told(RangeCommand.Grant grant, CommandOutcome outcome, Process process) {
      keeper.onGrant(grant, outcome, OptionalLong.of(process.session()), nowMs);
    }

    private void release(RangeCommand.Release release) {
      Process process = processes.get(release.assignment().owner().upstream());
      int fate = random.nextInt(100);
      if (fate < 10) {
        at(
            nowMs + 300,
            () -> keeper.onRelease(release, CommandOutcome.UNREACHED, Optional.empty(), nowMs));
      } else if (fate < 25) {
        at(nowMs + 2000 + random.nextInt(8000), () -> drop(process, release.assignment()));
        at(
            nowMs + timing.releaseTimeoutMs(),
            () -> keeper.onRelease(release, CommandOutcome.UNKNOWN, Optional.empty(), nowMs));
      } else {
        at(
            nowMs + 1 + random.nextInt(50),
            () -> {
              CommandOutcome outcome = drop(process, release.assignment());
              at(
                  nowMs + 1 + random.nextInt(50),
                  () -> keeper.onRelease(release, outcome, Optional.empty(), nowMs));
            });
      }
    }
  }

  OwnershipSchedule(long seed, RangeTiming timing, double clockError) {
    this.random = new Random(seed);
    this.timing = timing;
    this.clockError = clockError;
  }

  private void at(long atMs, Runnable action) {
    events.add(new Event(atMs, order++, action));
  }

  private static int key(int sample) {
    return sample * (KeyRange.KEYS / SAMPLES) + 17;
  }

  private boolean isGone(Process process) {
    return processes.get(process.owner.upstream()) != process;
  }

  private CommandOutcome apply(Process process, RangeAssignment assignment, long arrivedMs) {
    if (isGone(process)) {
      return CommandOutcome.UNREACHED;
    }
    KeyRange range = assignment.range();
    for (int i = 0; i < SAMPLES; i++) {
      if (range.first() <= key(i) && key(i) <= range.last()) {
        if (process.seen[i] > assignment.fence()) {
          return CommandOutcome.FENCED;
        }
      }
    }
    for (int i = 0; i < SAMPLES; i++) {
      if (range.first() <= key(i) && key(i) <= range.last()) {
        process.seen[i] = assignment.fence();
        long until = arrivedMs + (long) (timing.grantTtlMs() / process.clockRate);
        process.holdUntilMs[i] = Math.max(process.holdUntilMs[i], until);
        noteHolder(process, assignment, i);
      }
    }
    return CommandOutcome.DONE;
  }

  private void noteHolder(Process process, RangeAssignment assignment, int sample) {
    if (process.holdUntilMs[sample] <= nowMs) {
      return;
    }
    boolean other = lastOwner[sample] != null && !lastOwner[sample].equals(process.owner);
    if (other && assignment.fence() <= highestFence[sample]) {
      violations.add(nowMs + " key " + key(sample) + " moved with a fence that is not higher");
    }
    lastOwner[sample] = process.owner;
    highestFence[sample] = Math.max(highestFence[sample], assignment.fence());
    for (Process holder : processes.values()) {
      if (holder != process && holder.holdUntilMs[sample] > nowMs) {
        violations.add(
            nowMs + " key " + key(sample) + " " + holder.owner + " and " + process.owner);
      }
    }
  }

  private CommandOutcome drop(Process process, RangeAssignment assignment) {
    if (isGone(process)) {
      return CommandOutcome.UNREACHED;
    }
    for (int i = 0; i < SAMPLES; i++) {
      if (assignment.range().first() <= key(i) && key(i) <= assignment.range().last()) {
        process.holdUntilMs[i] = 0;
        process.seen[i] = Math.max(process.seen[i], assignment.fence());
      }
    }
    return CommandOutcome.DONE;
  }

  /** Plays the schedule and returns what was broken. */
  List<String> play() {
    for (int i = 0; i < UPSTREAMS; i++) {
      startProcess("u" + i, 1);
      registered.add("u" + i);
    }
    at(0, () -> new Leader(0).tick());
    long faultMs = 4000;
    while (faultMs < LENGTH_MS) {
      at(faultMs, this::fault);
      faultMs += 200 + random.nextInt(1500);
    }
    for (long lookMs = 8000; lookMs < LENGTH_MS; lookMs += 500) {
      at(lookMs, this::countServed);
    }
    while (!events.isEmpty() && events.peek().atMs() <= LENGTH_MS) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    return violations;
  }

  private void countServed() {
    for (int i = 0; i < SAMPLES; i++) {
      int sample = i;
      if (processes.values().stream().anyMatch(p -> p.holdUntilMs[sample] > nowMs)) {
        served++;
      }
    }
  }

  /** Returns how often a key was found with an owner. */
  int served() {
    return served;
  }

  private void startProcess(String id, long bornMs) {
    processes.put(
        id, new Process(new RangeOwner(id, bornMs), 1 - clockError * random.nextDouble()));
  }

  private void fault() {
    String id = "u" + random.nextInt(UPSTREAMS);
    switch (random.nextInt(4)) {
      case 0:
        registered.remove(id);
        break;
      case 1:
        registered.add(id);
        break;
      case 2:
        startProcess(id, nowMs);
        break;
      default:
        new Leader(
                timing.latestExpiryMs(nowMs + timing.callTimeoutMs())
                    + LeadershipTiming.GRANT_RENEWAL_WINDOW_MS)
            .tick();
    }
  }
}
