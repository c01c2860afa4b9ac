package org.foxtailford.daemon.request;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.foxtailford.core.admission.ByteBudget;
import org.foxtailford.core.admission.PriorityThreshold;
import org.foxtailford.core.coldstart.ColdStartAdmission;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.retry.RetryAfter;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.RequestSettings;

/** Assembles request paths by the settings. Immutable. */
public final class RequestPathFactory {

  private static final double PERCENT = 100.0;
  private static final double RETRIES_PER_SECOND = 1.0;
  private static final double RETRY_BURST = 20.0;
  private static final long MIN_ATTEMPT_MS = 2;

  private final RequestSettings settings;
  private final RequestRouter router;
  private final ServiceLoads loads;
  private final Supplier<RoutingSnapshot> snapshots;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final TaskScheduler tasks;

  /**
   * Creates the assembly.
   *
   * @param settings limits
   * @param router decides where each attempt goes
   * @param loads what this VM has seen of the upstreams
   * @param snapshots gives the state to decide on
   * @param metrics counters
   * @param clock this VM's clock
   * @param tasks runs what is due later
   */
  public RequestPathFactory(
      RequestSettings settings,
      RequestRouter router,
      ServiceLoads loads,
      Supplier<RoutingSnapshot> snapshots,
      RouterMetrics metrics,
      MillisClock clock,
      TaskScheduler tasks) {
    this.settings = Assert.notNull(settings, "settings");
    this.router = Assert.notNull(router, "router");
    this.loads = Assert.notNull(loads, "loads");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
    this.tasks = Assert.notNull(tasks, "tasks");
  }

  /**
   * Returns a new path.
   *
   * @param sender sends to upstreams what its guard lets through
   * @param relays sends to other entry VMs
   * @param coldStarts decides whether upstreams that may be cold take a request
   * @param random spreads the times at which refused callers come back
   */
  public RequestPath create(
      GuardedSender sender,
      RelaySender relays,
      ColdStartAdmission coldStarts,
      RandomGenerator random) {
    RetryBudget budget =
        new RetryBudget(
            settings.getRetryBudgetPercent() / PERCENT,
            RETRIES_PER_SECOND,
            RETRY_BURST,
            clock.nowMs());
    RequestAttempts attempts =
        new RequestAttempts(
            router,
            snapshots,
            loads,
            sender,
            relays,
            new RetryPolicy(settings.getMaxAttempts(), MIN_ATTEMPT_MS, budget),
            budget,
            metrics,
            clock,
            tasks,
            coldStarts,
            new QueueLimits(settings.getQueueCapacity(), settings.getQueueTimeMs()));
    return new RequestPath(
        attempts,
        snapshots,
        new PriorityThreshold(settings.getMaxInFlight()),
        new ByteBudget(settings.getMaxBodyMemoryBytes()),
        new RetryAfter(random),
        metrics,
        clock);
  }
}
