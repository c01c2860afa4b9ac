package org.foxtailford.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.SortedMap;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.foxtailford.core.util.Assert;

/** Divides the outcomes of a load into figures by phase and service. Immutable. */
public final class PhaseAccounting {

  private static final int SIGNIFICANT_DIGITS = 3;
  private static final double MICROS_PER_MS = 1000.0;
  private static final double MEDIAN_PERCENT = 50.0;
  private static final double TAIL_PERCENT = 99.0;

  private final List<PhaseWindow> phases;

  /**
   * Creates the accounting.
   *
   * @param phases phases in order, without gaps
   */
  public PhaseAccounting(List<PhaseWindow> phases) {
    this.phases = List.copyOf(Assert.notNull(phases, "phases"));
  }

  /** Returns the figures of one service, one of each phase. */
  public List<ServiceFigures> figures(String service, List<RequestOutcome> outcomes) {
    List<RequestOutcome> own =
        outcomes.stream().filter(outcome -> outcome.service().equals(service)).toList();
    KeyAvailability keys = new KeyAvailability(own, phases.get(phases.size() - 1).endMs());
    List<ServiceFigures> figures = new ArrayList<>();
    for (PhaseWindow phase : phases) {
      List<RequestOutcome> due = own.stream().filter(o -> phase.contains(o.sentMs())).toList();
      boolean keyed = own.stream().anyMatch(outcome -> outcome.key().isPresent());
      OptionalDouble unavailable =
          keyed ? OptionalDouble.of(keys.unavailableKeySeconds(phase)) : OptionalDouble.empty();
      figures.add(figuresOf(phase, service, due, unavailable));
    }
    return figures;
  }

  private static ServiceFigures figuresOf(
      PhaseWindow phase, String service, List<RequestOutcome> due, OptionalDouble unavailable) {
    Histogram latencies = new Histogram(SIGNIFICANT_DIGITS);
    SortedMap<Integer, Long> refusals = new TreeMap<>();
    for (RequestOutcome outcome : due) {
      if (outcome.isAnswered()) {
        latencies.recordValue(outcome.latencyMicros());
      } else {
        refusals.merge(outcome.code(), 1L, Long::sum);
      }
    }
    return new ServiceFigures(
        phase.name(),
        service,
        due.size(),
        latencies.getTotalCount(),
        latencies.getValueAtPercentile(MEDIAN_PERCENT) / MICROS_PER_MS,
        latencies.getValueAtPercentile(TAIL_PERCENT) / MICROS_PER_MS,
        latencies.getMaxValue() / MICROS_PER_MS,
        unavailable,
        refusals);
  }
}
