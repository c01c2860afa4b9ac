package org.foxtailford.testkit.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ExperimentLoad;
import org.foxtailford.schema.ExperimentService;
import org.foxtailford.schema.ExperimentSettings;

/**
 * The arrivals of an open-loop load: a Poisson process for each kind of request, which waits for no
 * answer. The same settings give the same arrivals. Stateless.
 */
public final class LoadSchedule {

  private static final double MICROS_PER_SECOND = 1_000_000.0;
  private static final long MICROS_PER_MS = 1000;

  private LoadSchedule() {}

  /** Returns every arrival of an experiment in the order of time. */
  public static List<Arrival> of(ExperimentSettings settings) {
    Assert.notNull(settings, "settings");
    List<PhaseWindow> phases = PhaseWindow.of(settings.getPhasesList());
    long endMicros = phases.get(phases.size() - 1).endMs() * MICROS_PER_MS;
    Random random = new Random(settings.getSeed());
    List<Arrival> arrivals = new ArrayList<>();
    for (ExperimentService service : settings.getServicesList()) {
      for (ExperimentLoad load : service.getLoadList()) {
        addArrivals(service, load, endMicros, random, arrivals);
      }
    }
    arrivals.sort(Comparator.comparingLong(Arrival::dueMicros));
    return arrivals;
  }

  private static void addArrivals(
      ExperimentService service,
      ExperimentLoad load,
      long endMicros,
      Random random,
      List<Arrival> arrivals) {
    double meanGapMicros = MICROS_PER_SECOND / load.getRequestsPerSecond();
    double dueMicros = random.nextExponential() * meanGapMicros;
    while (dueMicros < endMicros) {
      arrivals.add(
          new Arrival(
              (long) dueMicros,
              service.getName(),
              load.getKind(),
              load.getIdempotent(),
              chooseKey(service, random)));
      dueMicros += random.nextExponential() * meanGapMicros;
    }
  }

  private static Optional<String> chooseKey(ExperimentService service, Random random) {
    if (service.getKeys() == 0) {
      return Optional.empty();
    }
    return Optional.of("key-" + random.nextInt(service.getKeys()));
  }
}
