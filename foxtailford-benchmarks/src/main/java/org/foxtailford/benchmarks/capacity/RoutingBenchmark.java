package org.foxtailford.benchmarks.capacity;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.slice.KeyHashing;
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

/** Time of a routing decision and of a look-up in the map of owners. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
public class RoutingBenchmark {

  private static final int KEYS = 4096;
  private static final int SLICES_PER_UPSTREAM = 16;

  @Param({"20", "200", "1500"})
  private int upstreams;

  private final RequestRouter router =
      new RequestRouter(new TwoChoicesChooser(new Random(1)), new ServiceLoads(() -> 1));
  private final RequestAttributes[] requests = new RequestAttributes[KEYS];
  private final long[] hashes = new long[KEYS];
  private RoutingSnapshot snapshot = RoutingSnapshot.initial(Fleets.DATA_CENTRE);
  private int next;

  /** Prepares owners and requests. */
  @Setup
  public void prepare() {
    int slices = upstreams * SLICES_PER_UPSTREAM;
    List<String> homes = List.of(Fleets.DATA_CENTRE);
    snapshot =
        RoutingSnapshot.initial(Fleets.DATA_CENTRE)
            .withConfiguration(Fleets.configuration(upstreams, slices))
            .withHomes(
                HomeDirectory.of(List.of(HomeDirectory.initial(Fleets.SERVICE, slices, homes))))
            .withOwners(OwnershipMap.of(Fleets.checkpoint(upstreams, slices)));
    for (int i = 0; i < KEYS; i++) {
      requests[i] = Fleets.request("key-" + i);
      hashes[i] = KeyHashing.hash("key-" + i);
    }
  }

  /** Decides where a keyed request goes. */
  @Benchmark
  public RouteDecision decide() {
    return router.decide(requests[next++ & (KEYS - 1)], snapshot, Set.of(), 0);
  }

  /** Looks an owner up. */
  @Benchmark
  public Optional<SliceAssignment> lookUpOwner() {
    return snapshot.owners().owner(Fleets.SERVICE, hashes[next++ & (KEYS - 1)]);
  }
}
