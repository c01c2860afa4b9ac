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
 * Simulates {@link RangeController} under a random schedule of faults: upstreams that restart or
 * lose their registration, commands that are lost, not delivered or carried out seconds later,
 * clocks of upstreams that run slow, new leaders while the previous one still renews grants, and a
 * store that is restored from a copy some seconds old.
 */
final class OwnershipSchedule {

  private static final int UPSTREAMS = 4;
  private static final int SAMPLED_KEYS = 64;
  private static final long DURATION_MS = 30_000;

  private final Random random;
  private final RangeTiming timing;
  private final double clockError;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
  private final Map<String, Process> processes = new HashMap<>();
  private final Set<String> registered = new HashSet<>();
  private final long[] highestFence = new long[SAMPLED_KEYS];
  private final RangeOwner[] lastOwner = new RangeOwner[SAMPLED_KEYS];
  private final List<String> violations = new ArrayList<>();
  private final StoreDrill drill;
  private final List<StoredState> history = new ArrayList<>();
  private StoredState stored = new StoredState(0, RangeMap.EMPTY, 0);
  private long era;
  private long sequence;
  private long nowMs;
  private int ownedSamples;

  /** Guards against a restored store that a schedule can take out, and whether there is one. */
  enum StoreDrill {
    NONE,
    GUARDED,
    /** New leaders take the restored map for complete. */
    MAP_TRUSTED,
    /** Leaders in office hold nothing back. */
    NOTHING_HELD_BACK
  }

  /** Leader record and map, as written at some time. */
  private record StoredState(long atMs, RangeMap map, long term) {}

  private record Event(long atMs, long sequence, Runnable action) {}

  /** Incarnation of an upstream, with the sampled keys that are granted to it. */
  private static final class Process {
    private final RangeOwner owner;
    private final double clockRate;
    private final long[] highestSeenFence = new long[SAMPLED_KEYS];
    private final long[] grantExpiryMs = new long[SAMPLED_KEYS];

    /** Returns the number of the connection to the process, which differs for each incarnation. */
    long session() {
      return owner.bornMs();
    }

    Process(RangeOwner owner, double clockRate) {
      this.owner = owner;
      this.clockRate = clockRate;
    }
  }

  /** Leader with its own controller. */
  private final class Leader {
    private long ownTerm = LeadershipTerms.next(era, stored.term(), 0);
    private long ownEra = era;
    private final RangeController controller;
    private long lastConfirmedMs = nowMs;
    private long keepAtMs = Long.MAX_VALUE;
    private Optional<RangeCommand.Write> pendingWrite = Optional.empty();
    private long fences;

    Leader(long earlierGrantsExpiryMs) {
      boolean complete = stored.map().isComplete(era, false) || drill == StoreDrill.MAP_TRUSTED;
      controller =
          new RangeController(
              timing,
              () -> LeadershipTerms.fence(ownTerm, ++fences),
              new KeyLoadHistory(),
              stored.map(),
              complete,
              earlierGrantsExpiryMs,
              expired -> {});
      store(stored.map(), ownTerm);
    }

    private boolean isConfirmed() {
      return ownEra == era && ownTerm == stored.term();
    }

    /** Keeps the leadership in a restored store, unless another leader has acquired it there. */
    private void keepAsNeeded() {
      if (ownEra == era) {
        return;
      }
      if (keepAtMs == Long.MAX_VALUE) {
        keepAtMs = nowMs + random.nextInt(4000);
      }
      if (nowMs >= keepAtMs && LeadershipTerms.era(stored.term()) != era) {
        ownEra = era;
        ownTerm = LeadershipTerms.next(era, stored.term(), ownTerm);
        keepAtMs = Long.MAX_VALUE;
        store(stored.map(), ownTerm);
        long version = stored.map().version();
        pendingWrite = pendingWrite.map(write -> write.afterRestore(version));
        long heldBackFromMs = drill == StoreDrill.NOTHING_HELD_BACK ? nowMs - DURATION_MS : nowMs;
        controller.onStoreRestored(version, heldBackFromMs);
        pendingWrite.ifPresent(this::write);
      }
    }

    void tick() {
      keepAsNeeded();
      if (isConfirmed()) {
        lastConfirmedMs = nowMs;
      }
      boolean superseded = controller.isSuperseded() && drill != StoreDrill.NOTHING_HELD_BACK;
      if (nowMs - lastConfirmedMs < LeadershipTiming.GRANT_RENEWAL_WINDOW_MS && !superseded) {
        List<RangeCandidate> candidates = new ArrayList<>();
        for (String id : registered) {
          candidates.add(new RangeCandidate(processes.get(id).owner, 4, false));
        }
        for (RangeCommand command : controller.nextCommands(candidates, true, nowMs)) {
          execute(command);
        }
        at(nowMs + 50, this::tick);
      }
    }

    private void execute(RangeCommand command) {
      if (command instanceof RangeCommand.Grant) {
        grant((RangeCommand.Grant) command);
      } else if (command instanceof RangeCommand.Release) {
        release((RangeCommand.Release) command);
      } else {
        write((RangeCommand.Write) command);
      }
    }

    private void write(RangeCommand.Write write) {
      pendingWrite = Optional.of(write);
      long sentEra = era;
      at(
          nowMs + 5 + random.nextInt(40),
          () -> {
            boolean isCurrent =
                sentEra == era
                    && isConfirmed()
                    && pendingWrite.equals(Optional.of(write))
                    && write.expectedVersion() == stored.map().version();
            if (isCurrent) {
              pendingWrite = Optional.empty();
              long version = stored.map().version() + 1;
              long mapEra = write.complete() ? era : 0;
              store(new RangeMap(version, mapEra, write.assignments()), ownTerm);
              controller.onWritten(write, version, nowMs);
            }
          });
    }

    private void grant(RangeCommand.Grant grant) {
      Process process = processes.get(grant.assignment().owner().upstream());
      if (grant.session().isPresent() && grant.session().getAsLong() != process.session()) {
        at(nowMs, () -> reportOutcome(grant, CommandOutcome.UNREACHED, process));
        return;
      }
      int roll = random.nextInt(100);
      long arrivalMs = nowMs + random.nextInt((int) timing.callTimeoutMs() / 2);
      if (roll < 8) {
        at(nowMs + 300, () -> reportOutcome(grant, CommandOutcome.UNREACHED, process));
      } else if (roll < 16) {
        long delayedArrivalMs = arrivalMs + (roll < 12 ? 2000 + random.nextInt(10_000) : 0);
        at(delayedArrivalMs, () -> applyGrant(process, grant.assignment(), arrivalMs));
        at(
            nowMs + timing.callTimeoutMs(),
            () -> reportOutcome(grant, CommandOutcome.UNKNOWN, process));
      } else {
        at(
            arrivalMs,
            () -> {
              CommandOutcome outcome = applyGrant(process, grant.assignment(), arrivalMs);
              at(
                  arrivalMs + random.nextInt((int) timing.callTimeoutMs() / 2),
                  () -> reportOutcome(grant, outcome, process));
            });
      }
    }

    private void reportOutcome(RangeCommand.Grant grant, CommandOutcome outcome, Process process) {
      controller.onGrant(grant, outcome, OptionalLong.of(process.session()), nowMs);
    }

    private void release(RangeCommand.Release release) {
      Process process = processes.get(release.assignment().owner().upstream());
      int roll = random.nextInt(100);
      if (roll < 10) {
        at(
            nowMs + 300,
            () -> controller.onRelease(release, CommandOutcome.UNREACHED, Optional.empty(), nowMs));
      } else if (roll < 25) {
        at(nowMs + 2000 + random.nextInt(8000), () -> applyRelease(process, release.assignment()));
        at(
            nowMs + timing.releaseTimeoutMs(),
            () -> controller.onRelease(release, CommandOutcome.UNKNOWN, Optional.empty(), nowMs));
      } else {
        at(
            nowMs + 1 + random.nextInt(50),
            () -> {
              CommandOutcome outcome = applyRelease(process, release.assignment());
              at(
                  nowMs + 1 + random.nextInt(50),
                  () -> controller.onRelease(release, outcome, Optional.empty(), nowMs));
            });
      }
    }
  }

  OwnershipSchedule(long seed, RangeTiming timing, double clockError, StoreDrill drill) {
    this.random = new Random(seed);
    this.drill = drill;
    this.timing = timing;
    this.clockError = clockError;
  }

  private void store(RangeMap map, long term) {
    stored = new StoredState(nowMs, map, term);
    history.add(stored);
  }

  /** Restores the store from a copy up to five seconds old. */
  private void restoreStore() {
    long copiedMs = nowMs - random.nextInt(5000);
    while (history.size() > 1 && history.get(history.size() - 1).atMs() > copiedMs) {
      history.remove(history.size() - 1);
    }
    stored = history.get(history.size() - 1);
    era++;
  }

  private void at(long atMs, Runnable action) {
    events.add(new Event(atMs, sequence++, action));
  }

  private static int key(int sample) {
    return sample * (KeyRange.KEYS / SAMPLED_KEYS) + 17;
  }

  private boolean isReplaced(Process process) {
    return processes.get(process.owner.upstream()) != process;
  }

  private CommandOutcome applyGrant(Process process, RangeAssignment assignment, long arrivedMs) {
    if (isReplaced(process)) {
      return CommandOutcome.UNREACHED;
    }
    KeyRange range = assignment.range();
    for (int i = 0; i < SAMPLED_KEYS; i++) {
      if (range.first() <= key(i) && key(i) <= range.last()) {
        if (process.highestSeenFence[i] > assignment.fence()) {
          return CommandOutcome.FENCED;
        }
      }
    }
    for (int i = 0; i < SAMPLED_KEYS; i++) {
      if (range.first() <= key(i) && key(i) <= range.last()) {
        process.highestSeenFence[i] = assignment.fence();
        long expiryMs = arrivedMs + (long) (timing.grantTtlMs() / process.clockRate);
        process.grantExpiryMs[i] = Math.max(process.grantExpiryMs[i], expiryMs);
        recordHolder(process, assignment, i);
      }
    }
    return CommandOutcome.DONE;
  }

  private void recordHolder(Process process, RangeAssignment assignment, int sample) {
    if (process.grantExpiryMs[sample] <= nowMs) {
      return;
    }
    boolean isOtherOwner = lastOwner[sample] != null && !lastOwner[sample].equals(process.owner);
    if (isOtherOwner && assignment.fence() <= highestFence[sample]) {
      violations.add(nowMs + " key " + key(sample) + " moved without a higher fence");
    }
    lastOwner[sample] = process.owner;
    highestFence[sample] = Math.max(highestFence[sample], assignment.fence());
    for (Process holder : processes.values()) {
      if (holder != process && holder.grantExpiryMs[sample] > nowMs) {
        violations.add(
            nowMs + " key " + key(sample) + " " + holder.owner + " and " + process.owner);
      }
    }
  }

  private CommandOutcome applyRelease(Process process, RangeAssignment assignment) {
    if (isReplaced(process)) {
      return CommandOutcome.UNREACHED;
    }
    for (int i = 0; i < SAMPLED_KEYS; i++) {
      if (assignment.range().first() <= key(i) && key(i) <= assignment.range().last()) {
        process.grantExpiryMs[i] = 0;
        process.highestSeenFence[i] = Math.max(process.highestSeenFence[i], assignment.fence());
      }
    }
    return CommandOutcome.DONE;
  }

  /** Runs the schedule and returns the violations that were found. */
  List<String> simulate() {
    for (int i = 0; i < UPSTREAMS; i++) {
      startProcess("u" + i, 1);
      registered.add("u" + i);
    }
    at(0, () -> new Leader(0).tick());
    long faultMs = 4000;
    while (faultMs < DURATION_MS) {
      at(faultMs, this::injectFault);
      faultMs += 200 + random.nextInt(1500);
    }
    for (long sampleMs = 8000; sampleMs < DURATION_MS; sampleMs += 500) {
      at(sampleMs, this::countOwnedSamples);
    }
    while (!events.isEmpty() && events.peek().atMs() <= DURATION_MS) {
      Event event = events.poll();
      nowMs = event.atMs();
      event.action().run();
    }
    return violations;
  }

  private void countOwnedSamples() {
    for (int i = 0; i < SAMPLED_KEYS; i++) {
      int sample = i;
      if (processes.values().stream().anyMatch(p -> p.grantExpiryMs[sample] > nowMs)) {
        ownedSamples++;
      }
    }
  }

  /** Returns how often a sampled key had an owner when it was checked. */
  int ownedSamples() {
    return ownedSamples;
  }

  private void startProcess(String id, long bornMs) {
    processes.put(
        id, new Process(new RangeOwner(id, bornMs), 1 - clockError * random.nextDouble()));
  }

  private void injectFault() {
    String id = "u" + random.nextInt(UPSTREAMS);
    switch (random.nextInt(drill == StoreDrill.NONE ? 4 : 5)) {
      case 0:
        registered.remove(id);
        break;
      case 1:
        registered.add(id);
        break;
      case 2:
        startProcess(id, nowMs);
        break;
      case 4:
        restoreStore();
        break;
      default:
        new Leader(EarlierGrants.afterTakeover(nowMs).latestExpiryMs(timing)).tick();
    }
  }
}
