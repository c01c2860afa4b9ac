package org.foxtailford.testkit.simulation;

import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.foxtailford.core.util.Assert;

/** Measures the time from a loss until every slice has an owner again. Thread-safe. */
public final class RecoveryMeasurement {

  private static final long STEADY_MS = 4000;
  private static final int PHASE_MS = 1000;
  private static final long TABLE_DOWN_BEFORE_MS = 3000;
  private static final long FOR_GOOD_MS = 100_000;
  private static final long WATCH_MS = 5000;
  private static final long SAMPLE_MS = 5;
  private static final int CANDIDATES = 3;
  private static final int UPSTREAMS = 5;
  private static final int SLICES = 20;

  private final SimulationVariant variant;

  /** What is lost. */
  public enum Loss {
    UPSTREAM,
    LEADER,
    LEADER_AND_UPSTREAM,
    UPSTREAM_WHILE_TABLE_DOWN
  }

  public RecoveryMeasurement(SimulationVariant variant) {
    this.variant = Assert.notNull(variant, "variant");
  }

  /** Returns the times to serve again of consecutive seeds, sorted, in milliseconds. */
  public long[] run(Loss loss, long firstSeed, int count) {
    return LongStream.range(firstSeed, firstSeed + count)
        .map(seed -> measure(loss, seed))
        .sorted()
        .toArray();
  }

  private long measure(Loss loss, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Trace trace = new Trace(false);
    OwnershipSystem system =
        new OwnershipSystem(CANDIDATES, UPSTREAMS, SLICES, random.split(), variant, trace);
    FaultInjector injector = new FaultInjector(system, random, trace);
    system.begin();
    long lostMs = STEADY_MS + random.nextInt(PHASE_MS);
    if (loss == Loss.UPSTREAM_WHILE_TABLE_DOWN) {
      injector.lose(system.table(), STEADY_MS, FOR_GOOD_MS);
      lostMs += TABLE_DOWN_BEFORE_MS;
    }
    system.queue().runUntil(lostMs);
    if (loss != Loss.LEADER) {
      int index = random.nextInt(UPSTREAMS);
      injector.lose(system.upstreams().get(index), lostMs, FOR_GOOD_MS);
    }
    if (loss == Loss.LEADER || loss == Loss.LEADER_AND_UPSTREAM) {
      loseLeader(system, injector, lostMs);
    }
    return lastUnownedMs(system, lostMs) - lostMs;
  }

  private static void loseLeader(OwnershipSystem system, FaultInjector injector, long lostMs) {
    SimulatedCandidate leader =
        system.candidates().stream().filter(SimulatedCandidate::leads).findFirst().orElseThrow();
    injector.lose(leader, lostMs, FOR_GOOD_MS);
  }

  private static long lastUnownedMs(OwnershipSystem system, long lostMs) {
    long last = lostMs;
    for (long ms = lostMs; ms <= lostMs + WATCH_MS; ms += SAMPLE_MS) {
      system.queue().runUntil(ms);
      if (!system.checker().unowned().isEmpty()) {
        last = ms + SAMPLE_MS;
      }
    }
    return last;
  }
}
