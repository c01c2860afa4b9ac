package org.foxtailford.benchmarks.placement;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.foxtailford.benchmarks.command.CommandLines;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.placement.LoadAwarePolicy;
import org.foxtailford.core.placement.PlacementPolicy;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.schema.OwnershipSettings;
import org.kohsuke.args4j.Option;

/** Compares placement policies side by side and prints one table. */
public final class PlacementComparison {

  private static final int LARGE_FLEET = 100;

  @Option(name = "--upstreams", usage = "number of upstreams")
  private int upstreams = 20;

  @Option(name = "--seed", usage = "seed of the workload")
  private long seed = 1;

  @Option(name = "--minutes", usage = "minutes of workload after the warm-up")
  private int minutes = 30;

  @Option(name = "--only", usage = "compare only policies whose name contains this text")
  private String only = "";

  /** Runs the comparison. */
  public static void main(String[] args) {
    PlacementComparison comparison = new PlacementComparison();
    CommandLines.parse(comparison, args);
    comparison.print(System.out);
  }

  private void print(PrintStream out) {
    out.println(PlacementMeasures.header());
    policies().entrySet().stream()
        .filter(entry -> entry.getKey().contains(only))
        .forEach(entry -> out.println(measure(entry.getValue()).row(upstreams, entry.getKey())));
    out.printf(
        "%nHottest key: %.2f of the mean load of an upstream. Seed %d, %d minutes.%n",
        workload(new SplittableRandom(seed), upstreams).hottestRate()
            * upstreams
            / workload(new SplittableRandom(seed), upstreams).totalRate(),
        seed,
        minutes);
  }

  private static Map<String, PlacementPolicy> policies() {
    Map<String, PlacementPolicy> policies = new LinkedHashMap<>();
    policies.put("static modulo", new StaticModuloPolicy());
    policies.put("consistent hashing, bounded loads", new BoundedLoadHashingPolicy());
    policies.put("even count (first version)", new EvenCountPolicy(1));
    policies.put("load aware", new LoadAwarePolicy());
    return policies;
  }

  private PlacementMeasures measure(PlacementPolicy policy) {
    return measure(policy, upstreams, seed, minutes);
  }

  static PlacementMeasures measure(PlacementPolicy policy, int upstreams, long seed, int minutes) {
    SplittableRandom random = new SplittableRandom(seed);
    OwnershipSettings settings = SettingsDefaults.applyAll(OwnershipSettings.newBuilder()).build();
    PlacementMeasures measures = new PlacementMeasures(OwnershipTiming.of(settings));
    KeyWorkload workload = workload(random.split(), upstreams);
    new PlacementSimulation(policy, workload, upstreams, measures, random).run(minutes);
    return measures;
  }

  /** Returns the customers' sizes for small fleets and the size to design for else. */
  private static KeyWorkload workload(SplittableRandom random, int upstreams) {
    return upstreams < LARGE_FLEET
        ? new KeyWorkload(random, 1e6, 0.9, upstreams * 400.0)
        : new KeyWorkload(random, 3.6e9, 0.7, upstreams * 2400.0);
  }
}
