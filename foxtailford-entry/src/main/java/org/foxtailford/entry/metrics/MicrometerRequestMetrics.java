package org.foxtailford.entry.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.request.RequestMetrics;

/**
 * Records request metrics with Micrometer. The number of label values is bounded: further values
 * share one. Confined to the event loop; the registry may be read on any thread.
 */
public final class MicrometerRequestMetrics implements RequestMetrics {

  /** Maximum number of values of one label. */
  private static final int MAX_LABELS = 64;

  /** Maximum number of tenants with counters of their own; the largest fleet known has 74. */
  private static final int MAX_TENANTS = 100;

  private static final String OTHER = "other";

  private static final Duration[] LATENCY_BUCKETS = {
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
  private final Map<String, Timer> abandonedWork = new HashMap<>();
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<String, DistributionSummary> costs = new HashMap<>();
  private final Map<String, Counter> quotas = new HashMap<>();
  private final Set<String> quotaTenants = new HashSet<>();

  /** Creates metrics that register their meters on first use. */
  public MicrometerRequestMetrics(MeterRegistry registry) {
    this.registry = Assert.notNull(registry, "registry");
  }

  private static <V> V getOrCreate(
      Map<String, V> meters, String label, Function<String, V> factory) {
    V existing = meters.get(label);
    if (existing != null) {
      return existing;
    }
    return meters.computeIfAbsent(meters.size() < MAX_LABELS ? label : OTHER, factory);
  }

  @Override
  public void recordAnswer(String route, int status, long tookMs) {
    Timer timer =
        getOrCreate(
            answers,
            status / 100 + "xx",
            label ->
                Timer.builder("foxtailford.answers")
                    .tag("status", label)
                    .serviceLevelObjectives(LATENCY_BUCKETS)
                    .register(registry));
    timer.record(tookMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void recordRefusal(String reason) {
    count("foxtailford.refusals", reason);
  }

  @Override
  public void recordWithheld(String reason) {
    count("foxtailford.sends.withheld", reason);
  }

  @Override
  public void recordRetry(String reason) {
    count("foxtailford.repeats", reason);
  }

  @Override
  public void recordDeniedRetry(String reason) {
    count("foxtailford.repeats.denied", reason);
  }

  @Override
  public void recordPause(String outcome) {
    count("foxtailford.pauses", outcome);
  }

  @Override
  public void recordLimit(String outcome) {
    count("foxtailford.limits", outcome);
  }

  @Override
  public void recordQuota(String tenant, String outcome) {
    String value =
        quotaTenants.size() < MAX_TENANTS || quotaTenants.contains(tenant) ? tenant : OTHER;
    quotaTenants.add(value);
    quotas
        .computeIfAbsent(
            value + '/' + outcome,
            name ->
                Counter.builder("foxtailford.quota")
                    .tag("tenant", value)
                    .tag("outcome", outcome)
                    .register(registry))
        .increment();
  }

  private void count(String name, String reason) {
    getOrCreate(
            counters,
            name + '/' + reason,
            label -> {
              String value = label.equals(OTHER) ? OTHER : reason;
              return Counter.builder(name).tag("reason", value).register(registry);
            })
        .increment();
  }

  @Override
  public void recordWait(String service, long waitedMs) {
    Timer timer =
        getOrCreate(
            waits,
            service,
            label ->
                Timer.builder("foxtailford.waits")
                    .tag("service", label)
                    .serviceLevelObjectives(LATENCY_BUCKETS)
                    .register(registry));
    timer.record(waitedMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void recordWorkAfterCaller(String outcome, long tookMs) {
    getOrCreate(
            abandonedWork,
            outcome,
            label ->
                Timer.builder("foxtailford.callers.gone.work")
                    .tag("outcome", label)
                    .serviceLevelObjectives(LATENCY_BUCKETS)
                    .register(registry))
        .record(tookMs, TimeUnit.MILLISECONDS);
  }

  @Override
  public void recordCost(String service, double expectedMs, double actualMs) {
    costSummary("foxtailford.cost.expected", service).record(expectedMs);
    costSummary("foxtailford.cost.actual", service).record(actualMs);
    costSummary("foxtailford.cost.error", service).record(Math.abs(actualMs - expectedMs));
  }

  private DistributionSummary costSummary(String name, String service) {
    return getOrCreate(
        costs,
        name + '/' + service,
        label -> {
          String value = label.equals(OTHER) ? OTHER : service;
          return DistributionSummary.builder(name)
              .baseUnit("milliseconds")
              .tag("service", value)
              .register(registry);
        });
  }
}
