package org.foxtailford.testkit.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.foxtailford.core.util.Assert;

/**
 * Intervals in which the keys of one service were unavailable.
 *
 * <p>A key is unavailable from a request that was not answered until the next one that was, both
 * taken at the time when they were due, or until the end of the load. Immutable.
 */
public final class KeyAvailability {

  private static final double MS_PER_SECOND = 1000.0;

  private final List<Interval> unavailable;

  private record Interval(long fromMs, long toMs) {}

  /**
   * Finds the intervals.
   *
   * @param outcomes requests of one service, in any order; those without key are left out
   * @param loadEndMs end of the load, in milliseconds since it began
   */
  public KeyAvailability(List<RequestOutcome> outcomes, long loadEndMs) {
    Assert.notNull(outcomes, "outcomes");
    Map<String, Long> failingSinceMs = new HashMap<>();
    List<Interval> found = new ArrayList<>();
    outcomes.stream()
        .filter(outcome -> outcome.key().isPresent())
        .sorted(Comparator.comparingLong(RequestOutcome::sentMs))
        .forEach(outcome -> follow(outcome, failingSinceMs, found));
    failingSinceMs.values().forEach(sinceMs -> found.add(new Interval(sinceMs, loadEndMs)));
    unavailable = List.copyOf(found);
  }

  private static void follow(
      RequestOutcome outcome, Map<String, Long> failingSinceMs, List<Interval> found) {
    String key = outcome.key().orElseThrow();
    if (!outcome.isAnswered()) {
      failingSinceMs.putIfAbsent(key, outcome.sentMs());
      return;
    }
    Long sinceMs = failingSinceMs.remove(key);
    if (sinceMs != null) {
      found.add(new Interval(sinceMs, outcome.sentMs()));
    }
  }

  /** Returns the unavailable time of all keys together within a phase, in seconds. */
  public double unavailableKeySeconds(PhaseWindow phase) {
    long sumMs =
        unavailable.stream()
            .mapToLong(interval -> phase.overlapMs(interval.fromMs, interval.toMs))
            .sum();
    return sumMs / MS_PER_SECOND;
  }
}
