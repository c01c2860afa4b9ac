package org.foxtailford.benchmarks.requests;

import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RouteDecision;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
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

/** Time and allocations of one routing decision for a service without keys. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 3, time = 1)
public class RoutingDecisionBenchmark {

  private static final long SEED = 1;
  private static final long DEADLINE_MS = 1000;

  @Param({"CONSORTIUM", "CITY"})
  private String customer = "CONSORTIUM";

  private RequestRouter router;
  private RoutingSnapshot snapshot;
  private RequestAttributes request;

  /** Builds the fleet of the customer. */
  @Setup
  public void setUp() {
    CustomerSize size = CustomerSize.valueOf(customer);
    ModelFleet fleet = new ModelFleet(size, new EventQueue(), new Random(SEED), 0);
    String dataCentre = size.dataCentreOf(0);
    snapshot = RoutingSnapshot.initial(dataCentre).withConfiguration(fleet.configuration());
    ServiceLoads loads = new ServiceLoads(() -> size.entryVms() / size.dataCentres());
    router = new RequestRouter(new TwoChoicesChooser(new Random(SEED)), loads);
    String service = size.pools().get(0).name();
    request =
        new RequestAttributes(
            service, ModelFleet.KIND, Optional.empty(), Optional.of("id"), DEADLINE_MS, 0);
  }

  /** Decides where one request goes. */
  @Benchmark
  public RouteDecision decide() {
    return router.decide(request, snapshot, Set.of(), 0);
  }
}
