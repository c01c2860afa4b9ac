package org.foxtailford.benchmarks.placement;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.foxtailford.core.ownership.OwnershipTiming;

/** What one policy cost in one run. Not thread-safe. */
final class PlacementMeasures {

  static final double TARGET_IMBALANCE = 1.2;
  private static final double KEYS = 1e6;
  private static final double MS_PER_S = 1000;

  private final double exchangeS;
  private final double lapseS;
  private final List<Integer> settleSeconds = new ArrayList<>();
  private final Histogram imbalancePermille = new Histogram(3);
  private final Histogram roundMicros = new Histogram(3);
  private int secondsSinceEvent = -1;
  private int unsettled;
  private int seconds;
  private double hashMoved;
  private double loadMoved;
  private double leastLoadMoved;
  private double unavailableKeySeconds;

  /** Counts a release and a grant as two renewal intervals, a loss as lapse and one interval. */
  PlacementMeasures(OwnershipTiming timing) {
    exchangeS = 2 * timing.renewIntervalMs() / MS_PER_S;
    lapseS = (timing.grantExpiryMs() + timing.renewIntervalMs()) / MS_PER_S;
  }

  /** Starts the clock of an event; an earlier one that has not settled counts as missed. */
  void event(double leastLoad) {
    if (secondsSinceEvent >= 0) {
      unsettled++;
    }
    secondsSinceEvent = 0;
    leastLoadMoved += leastLoad;
  }

  void second(double imbalance) {
    seconds++;
    imbalancePermille.recordValue(Math.round(imbalance * MS_PER_S));
    if (secondsSinceEvent >= 0 && imbalance <= TARGET_IMBALANCE) {
      settleSeconds.add(secondsSinceEvent);
      secondsSinceEvent = -1;
    } else if (secondsSinceEvent >= 0) {
      secondsSinceEvent++;
    }
  }

  void moved(double hashShare, double loadShare, boolean ownerLost) {
    hashMoved += hashShare;
    loadMoved += loadShare;
    unavailableKeySeconds += hashShare * KEYS * (ownerLost ? lapseS : exchangeS);
  }

  void round(long nanos) {
    roundMicros.recordValue(nanos / 1000);
  }

  /** Returns the header of {@link #row}. */
  static String header() {
    return "| upstreams | policy | imbalance p50 | p99 | max | settled s, median | worst | missed"
        + " | hash moved %/min | load moved %/min | least load %/min | churn / least"
        + " | unavailable key-s a million keys and minute | round ms, p50 | max |\n"
        + "|---:|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|";
  }

  String row(int upstreams, String policy) {
    double minutes = seconds / 60.0;
    List<Integer> sorted = settleSeconds.stream().sorted().toList();
    int events = settleSeconds.size() + unsettled;
    return String.format(
        "| %d | %s | %.2f | %.2f | %.2f | %s | %s | %d of %d"
            + " | %.2f | %.2f | %.2f | %.1f | %.0f | %.2f | %.2f |",
        upstreams,
        policy,
        imbalancePermille.getValueAtPercentile(50) / MS_PER_S,
        imbalancePermille.getValueAtPercentile(99) / MS_PER_S,
        imbalancePermille.getMaxValue() / MS_PER_S,
        sorted.isEmpty() ? "-" : sorted.get(sorted.size() / 2),
        sorted.isEmpty() ? "-" : sorted.get(sorted.size() - 1),
        unsettled,
        events,
        100 * hashMoved / minutes,
        100 * loadMoved / minutes,
        100 * leastLoadMoved / minutes,
        churnOverLeast(),
        unavailableKeySeconds / minutes,
        roundMicros.getValueAtPercentile(50) / MS_PER_S,
        roundMicros.getMaxValue() / MS_PER_S);
  }

  /** Returns the longest time in which an event settled, in seconds. */
  int worstSettleSeconds() {
    return settleSeconds.stream().mapToInt(s -> s).max().orElse(0);
  }

  /** Returns the number of events that did not settle before the next one. */
  int missed() {
    return unsettled;
  }

  /** Returns the load moved over the least that reaches the target. */
  double churnOverLeast() {
    return loadMoved / leastLoadMoved;
  }

  /** Ends the run; an event that has not settled counts as missed. */
  void end() {
    if (secondsSinceEvent >= 0) {
      unsettled++;
    }
  }
}
