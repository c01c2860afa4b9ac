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

/** Creates request paths from the settings. Immutable. */
public final class RequestPathFactory {

  private static final double PERCENT = 100.0;

  /** Refill rate of the retry budget in tokens per second, independent of traffic. */
  private static final double RETRY_TOKENS_PER_SECOND = 1.0;

  /** Maximum number of tokens in the retry budget. */
  private static final double RETRY_TOKEN_CAPACITY = 20.0;

  /** Minimum time left before the deadline for a retry, in milliseconds. */
  private static final long MIN_RETRY_TIME_MS = 2;

  private final RequestSettings settings;
  private final RequestRouter router;
  private final ServiceLoads loads;
  private final Supplier<RoutingSnapshot> snapshots;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private final TaskScheduler scheduler;

  /**
   * Creates a factory.
   *
   * @param settings limits of retries, queues and requests in flight
   * @param router chooses the target of each attempt
   * @param loads load of the upstreams as observed by this VM
   * @param snapshots supplies the current routing state
   * @param metrics counters of requests, retries and rejections
   * @param clock this VM's clock
   * @param scheduler schedules hedges and queue checks
   */
  public RequestPathFactory(
      RequestSettings settings,
      RequestRouter router,
      ServiceLoads loads,
      Supplier<RoutingSnapshot> snapshots,
      RouterMetrics metrics,
      MillisClock clock,
      TaskScheduler scheduler) {
    this.settings = Assert.notNull(settings, "settings");
    this.router = Assert.notNull(router, "router");
    this.loads = Assert.notNull(loads, "loads");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
    this.scheduler = Assert.notNull(scheduler, "scheduler");
  }

  /**
   * Creates a request path with a retry budget and queues of its own.
   *
   * @param sender sends the attempts that its guard allows
   * @param relaySender relays requests to other entry VMs
   * @param coldStarts decides whether a request may go to an upstream that may be cold
   * @param random source of jitter for the retry times suggested to refused callers
   */
  public RequestPath create(
      GuardedSender sender,
      RelaySender relaySender,
      ColdStartAdmission coldStarts,
      RandomGenerator random) {
    RetryBudget retryBudget =
        new RetryBudget(
            settings.getRetryBudgetPercent() / PERCENT,
            RETRY_TOKENS_PER_SECOND,
            RETRY_TOKEN_CAPACITY,
            clock.nowMs());
    RequestExecutor executor =
        new RequestExecutor(
            router,
            snapshots,
            loads,
            sender,
            relaySender,
            new RetryPolicy(settings.getMaxAttempts(), MIN_RETRY_TIME_MS, retryBudget),
            retryBudget,
            metrics,
            clock,
            scheduler,
            coldStarts,
            new QueueLimits(settings.getQueueCapacity(), settings.getQueueTimeMs()));
    return new RequestPath(
        executor,
        snapshots,
        new PriorityThreshold(settings.getMaxInFlight()),
        new ByteBudget(settings.getMaxBodyMemoryBytes()),
        new RetryAfter(random),
        metrics,
        clock);
  }
}
