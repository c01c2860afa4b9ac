package org.foxtailford.core.poison;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.foxtailford.schema.PoisonReport;

/**
 * Simulates entry VMs that send a poison request among harmless ones to upstreams, which restart
 * after a crash.
 */
final class PoisonWorld {

  static final long POISON = 1;

  private static final int HARMLESS_REQUESTS = 40;
  private static final int STEP_MS = 50;

  private final Random random;
  private final double reportLossRate;
  private final List<PoisonTracker> trackers = new ArrayList<>();
  private long nowMs;
  private int lostUpstreams;

  PoisonWorld(long seed, int entryVms, double reportLossRate, PoisonLimits limits) {
    this.random = new Random(seed);
    this.reportLossRate = reportLossRate;
    for (int i = 0; i < entryVms; i++) {
      trackers.add(new PoisonTracker(limits, () -> nowMs));
    }
  }

  int lostUpstreams() {
    return lostUpstreams;
  }

  /** Returns the number of harmless requests that at least one entry VM classifies as poison. */
  long falsePositives() {
    return LongStream.rangeClosed(POISON + 1, POISON + HARMLESS_REQUESTS)
        .filter(
            request ->
                trackers.stream()
                    .anyMatch(tracker -> tracker.verdict(request) == PoisonVerdict.POISON))
        .count();
  }

  PoisonWorld run(int steps) {
    for (int i = 0; i < steps; i++) {
      nowMs += STEP_MS;
      step();
    }
    return this;
  }

  /** Lets an upstream run some harmless requests and, if it is admitted, the poison request. */
  private void step() {
    String upstream = "u" + random.nextInt(8);
    List<PoisonTracker> senders = new ArrayList<>();
    List<Long> running = new ArrayList<>();
    for (int i = random.nextInt(6); i > 0; i--) {
      long harmlessRequest = POISON + 1 + random.nextInt(HARMLESS_REQUESTS);
      start(harmlessRequest, senders, running);
    }
    boolean crashes = random.nextInt(4) == 0 && start(POISON, senders, running);
    for (int i = 0; i < running.size(); i++) {
      finish(senders.get(i), running.get(i), upstream, crashes);
    }
    if (crashes) {
      lostUpstreams++;
      senders.stream().distinct().forEach(tracker -> reportUpstreamLoss(tracker, upstream));
    }
  }

  private boolean start(long request, List<PoisonTracker> senders, List<Long> running) {
    PoisonTracker tracker = trackers.get(random.nextInt(trackers.size()));
    PoisonVerdict verdict = tracker.verdict(request);
    boolean clear = verdict == PoisonVerdict.CLEAR;
    if (verdict == PoisonVerdict.POISON || !clear && !tracker.tryBeginTrial(request)) {
      return false;
    }
    senders.add(tracker);
    running.add(request);
    return true;
  }

  private void finish(PoisonTracker tracker, long request, String upstream, boolean crashes) {
    tracker.endTrial(request);
    if (crashes) {
      tracker.recordConnectionLoss(upstream, request);
    } else {
      tracker.recordAnswer(request);
    }
  }

  private void reportUpstreamLoss(PoisonTracker tracker, String upstream) {
    PoisonReport report = tracker.recordUpstreamLoss(upstream).orElseThrow();
    for (PoisonTracker other : trackers) {
      if (other != tracker && random.nextDouble() >= reportLossRate) {
        other.applyReport(report);
      }
    }
  }
}
