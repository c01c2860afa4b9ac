package org.foxtailford.entry.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.RequestMetrics;

/**
 * Counts with Micrometer. Labels are bounded: names beyond a number share one label. Used on the
 * event loop only, apart from the registry's readers.
 */
public final class MicrometerRequestMetrics implements RequestMetrics {

  /** Different values of one label. */
  private static final int MOST_LABELS = 64;

  private static final String OTHER = "other";

  private static final Duration[] BUCKETS = {
    Duration.ofMillis(10),
    Duration.ofMillis(25),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(200),
    Duration.ofMillis(400),
    Duration.ofMillis(800),
    Duration.ofMillis(1600),
    Duration.ofMillis(3200)
  };

  private final MeterRegistry registry;
  private final Map<String, Timer> answers = new HashMap<>();
  private final Map<String, Timer> waits = new HashMap<>();
  private final Map<String, Counter> counters = new HashMap<>();

  /** Creates the counts in a registry. */
  public MicrometerRequestMetrics(MeterRegistry registry) {
    this.registry = Assert.notNull(registry, "registry");
  }

  private static <V> V bounded(Map<String, V> known, String label, Function<String, V> make) {
    V present = known.get(label);
    if (present != null) {
      return present;
    }
    return known.computeIfAbsent(known.size() < MOST_LABELS ? label : OTHER, make);
  }

  @Override
  public void recordAnswer(String route, int status, long tookMs) {
    Timer timer =
        bounded(
            answers,
            status / 100 + "xx",
            label ->
                Timer.builder("foxtailford.answers")
                    .tag("status", label)
                    .serviceLevelObjectives(BUCKETS)
                    .register(registry));
    timer.record(tookMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void recordRefusal(String reason) {
    count("foxtailford.refusals", reason);
  }

  @Override
  public void recordRetry(String reason) {
    count("foxtailford.repeats", reason);
  }

  @Override
  public void recordDeniedRetry(String reason) {
    count("foxtailford.repeats.denied", reason);
  }

  private void count(String name, String reason) {
    bounded(
            counters,
            name + '/' + reason,
            label -> {
              String shown = label.equals(OTHER) ? OTHER : reason;
              return Counter.builder(name).tag("reason", shown).register(registry);
            })
        .increment();
  }

  @Override
  public void recordWait(String service, long waitedMs) {
    Timer timer =
        bounded(
            waits,
            service,
            label ->
                Timer.builder("foxtailford.waits")
                    .tag("service", label)
                    .serviceLevelObjectives(BUCKETS)
                    .register(registry));
    timer.record(waitedMs, TimeUnit.MILLISECONDS);
  }
}
