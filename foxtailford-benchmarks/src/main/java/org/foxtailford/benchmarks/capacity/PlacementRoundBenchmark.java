package org.foxtailford.benchmarks.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.placement.LoadAwarePolicy;
import org.foxtailford.core.placement.PlacedSlice;
import org.foxtailford.core.placement.PlacementPlan;
import org.foxtailford.core.placement.PlacementRound;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Time of a round of placement. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class PlacementRoundBenchmark {

  private static final int SHIFTED_EVERY = 100;
  private static final double SHIFT = 30;

  @Param({"20", "1500"})
  private int upstreams;

  private final LoadAwarePolicy policy = new LoadAwarePolicy();
  private PlacementRound balanced = new PlacementRound(List.of(), List.of(), List.of());
  private PlacementRound shifted = balanced;

  /** Prepares a balanced round and one in which some slices became heavy. */
  @Setup
  public void prepare() {
    balanced = Slopes.balancedRound(upstreams);
    List<PlacedSlice> slices = new ArrayList<>();
    for (PlacedSlice slice : balanced.slices()) {
      boolean heavy = slices.size() % SHIFTED_EVERY == 0;
      double load = heavy ? slice.load() * SHIFT : slice.load();
      slices.add(new PlacedSlice(slice.range(), slice.owner(), load));
    }
    shifted = new PlacementRound(slices, balanced.upstreams(), List.of());
  }

  /** Plans a round that changes nothing. */
  @Benchmark
  public PlacementPlan balanced() {
    return policy.planRound(balanced);
  }

  /** Plans the first round after a shift. */
  @Benchmark
  public PlacementPlan shifted() {
    return policy.planRound(shifted);
  }
}
