package org.foxtailford.core.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.foxtailford.schema.PoisonReport;

/** Entry VMs that send one deadly request among innocent ones to upstreams that restart. */
final class PoisonWorld {

  static final long POISON = 1;

  private static final int INNOCENT = 40;
  private static final int STEP_MS = 50;

  private final Random random;
  private final double reportLoss;
  private final List<PoisonTracker> trackers = new ArrayList<>();
  private long nowMs;
  private int killed;

  PoisonWorld(long seed, int entryVms, double reportLoss, PoisonLimits limits) {
    this.random = new Random(seed);
    this.reportLoss = reportLoss;
    for (int i = 0; i < entryVms; i++) {
      trackers.add(new PoisonTracker(limits, () -> nowMs));
    }
  }

  int killed() {
    return killed;
  }

  /** Returns the number of innocent requests that some entry VM refuses for good. */
  long condemned() {
    return LongStream.rangeClosed(POISON + 1, POISON + INNOCENT)
        .filter(r -> trackers.stream().anyMatch(t -> t.verdict(r) == PoisonVerdict.POISON))
        .count();
  }

  PoisonWorld run(int steps) {
    for (int i = 0; i < steps; i++) {
      nowMs += STEP_MS;
      step();
    }
    return this;
  }

  /** One upstream runs some innocent requests and, if it is let through, the deadly one. */
  private void step() {
    String upstream = "u" + random.nextInt(8);
    List<PoisonTracker> senders = new ArrayList<>();
    List<Long> running = new ArrayList<>();
    for (int i = random.nextInt(6); i > 0; i--) {
      long innocent = POISON + 1 + random.nextInt(INNOCENT);
      start(innocent, senders, running);
    }
    boolean dies = random.nextInt(4) == 0 && start(POISON, senders, running);
    for (int i = 0; i < running.size(); i++) {
      finish(senders.get(i), running.get(i), upstream, dies);
    }
    if (dies) {
      killed++;
      senders.stream().distinct().forEach(tracker -> lose(tracker, upstream));
    }
  }

  private boolean start(long request, List<PoisonTracker> senders, List<Long> running) {
    PoisonTracker tracker = trackers.get(random.nextInt(trackers.size()));
    PoisonVerdict verdict = tracker.verdict(request);
    boolean free = verdict == PoisonVerdict.CLEAR;
    if (verdict == PoisonVerdict.POISON || !free && !tracker.tryBeginTrial(request)) {
      return false;
    }
    senders.add(tracker);
    running.add(request);
    return true;
  }

  private void finish(PoisonTracker tracker, long request, String upstream, boolean dies) {
    tracker.endTrial(request);
    if (dies) {
      tracker.recordConnectionLoss(upstream, request);
    } else {
      tracker.recordAnswer(request);
    }
  }

  private void lose(PoisonTracker tracker, String upstream) {
    PoisonReport report = tracker.recordUpstreamLoss(upstream).orElseThrow();
    for (PoisonTracker other : trackers) {
      if (other != tracker && random.nextDouble() >= reportLoss) {
        other.applyReport(report);
      }
    }
  }
}
