package org.foxtailford.testkit.simulation;

import java.util.SplittableRandom;
import org.foxtailford.core.util.Assert;

/**
 * Runs random schedules of faults against the real election, leader and grants.
 *
 * <p>The same seed gives the same schedule. Thread-safe: each schedule has a system of its own.
 */
public final class OwnershipExplorer {

  private static final long WARM_UP_MS = 2000;
  private static final long FAULTS_MS = 4000;
  private static final long SETTLE_MS = 4000;
  private static final long QUIET_MS = 1000;
  private static final long SAMPLE_MS = 100;
  private static final int MIN_LENGTH_MS = 50;
  private static final int MAX_LENGTH_MS = 2500;
  private static final int MAX_FAULTS = 8;
  private static final int[] SLICE_COUNTS = {4, 6, 8};

  private final SimulationVariant variant;

  public OwnershipExplorer(SimulationVariant variant) {
    this.variant = Assert.notNull(variant, "variant");
  }

  /** Runs one schedule. */
  public ScheduleResult run(long seed, boolean recordTrace) {
    SplittableRandom random = new SplittableRandom(seed);
    Trace trace = new Trace(recordTrace);
    int slices = SLICE_COUNTS[random.nextInt(SLICE_COUNTS.length)];
    OwnershipSystem system =
        new OwnershipSystem(2 + random.nextInt(2), 3, slices, random.split(), variant, trace);
    system.begin();
    long faultsEnd = enterFaults(system, random, trace);
    system.setRestlessUntil(faultsEnd);
    long end = faultsEnd + SETTLE_MS;
    sample(system, end);
    system.checker().checkAllOwned();
    sample(system, end + QUIET_MS);
    system.checker().checkAllOwned();
    return new ScheduleResult(seed, system.checker().violations(), trace.lines());
  }

  private static long enterFaults(OwnershipSystem system, SplittableRandom random, Trace trace) {
    FaultInjector injector = new FaultInjector(system, random, trace);
    FaultKind[] kinds = FaultKind.values();
    long end = WARM_UP_MS;
    int count = 1 + random.nextInt(MAX_FAULTS);
    for (int i = 0; i < count; i++) {
      long atMs = WARM_UP_MS + random.nextLong(FAULTS_MS);
      long lengthMs = random.nextLong(MIN_LENGTH_MS, MAX_LENGTH_MS);
      injector.inject(kinds[random.nextInt(kinds.length)], atMs, lengthMs);
      end = Math.max(end, atMs + lengthMs);
    }
    return end;
  }

  private static void sample(OwnershipSystem system, long untilMs) {
    for (long ms = system.queue().nowMs(); ms <= untilMs; ms += SAMPLE_MS) {
      system.queue().runUntil(ms);
      system.checker().checkHoldings();
    }
  }
}
