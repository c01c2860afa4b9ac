package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.StopPlan;
import org.foxtailford.core.overload.WindowedRetryBudget;
import org.foxtailford.core.poison.LossLog;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.quota.QuotaTerms;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.time.ArrivalClock;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamPath;
import org.foxtailford.core.upstream.UpstreamReach;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.control.ControlClocks;
import org.foxtailford.entry.control.EntryControl;
import org.foxtailford.entry.control.EntryIdentity;
import org.foxtailford.entry.control.EntryRoutingState;
import org.foxtailford.entry.control.LossExchange;
import org.foxtailford.entry.control.QuotaComponents;
import org.foxtailford.entry.control.ReportContents;
import org.foxtailford.entry.control.UpstreamLinks;
import org.foxtailford.entry.metrics.MicrometerRequestMetrics;
import org.foxtailford.entry.request.CallerAuthentication;
import org.foxtailford.entry.request.ExpectedCosts;
import org.foxtailford.entry.request.PoisonGuard;
import org.foxtailford.entry.request.RequestDispatcher;
import org.foxtailford.entry.request.RequestMetrics;
import org.foxtailford.entry.request.RequestRelay;
import org.foxtailford.entry.request.RequestScheduler;
import org.foxtailford.entry.request.UpstreamPathMonitor;
import org.foxtailford.entry.request.UpstreamRegistry;
import org.foxtailford.entry.request.UpstreamSelector;
import org.foxtailford.entry.request.VmLocation;
import org.foxtailford.entry.settings.EntrySettings;
import org.foxtailford.net.exchange.ExchangeDialect;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.net.proxy.CallerBuffers;
import org.foxtailford.net.proxy.CallerServer;
import org.foxtailford.net.proxy.UpstreamPool;
import org.foxtailford.net.tcp.ClosingEventLoopGroup;
import org.foxtailford.platform.HeaderDialect;
import org.foxtailford.platform.HttpRangeCommandClient;
import org.foxtailford.platform.HttpRowStore;
import org.foxtailford.platform.JsonPlatformRows;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.PoisonReport;

/** An entry VM: creates its components, starts and stops them. */
public final class EntryVm {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum grant TTL, in milliseconds; the settings may lower it. */
  private static final long MAX_GRANT_TTL_MS = 3000;

  private static final long GRANT_RENEW_INTERVAL_MS = 800;
  private static final long GRANT_RETRY_MS = 300;
  private static final long GRANT_TIMEOUT_MS = 700;
  private static final long RELEASE_TIMEOUT_MS = 3000;
  private static final long GRANT_TTL_MARGIN_MS = 100;

  /** Maximum connections to one address for range commands and peer messages. */
  private static final int CONTROL_CONNECTIONS = 4;

  /** Maximum connections to one address for exchange calls, of which one is made at a time. */
  private static final int EXCHANGE_CONNECTIONS = 1;

  private static final int STORE_CONNECTIONS = 6;

  /** Maximum size of the store's answers, in bytes; the store's own limit. */
  private static final int MAX_ANSWER_BYTES = 2 << 20;

  /** Maximum size of a peer's message, in bytes. */
  private static final int MAX_MESSAGE_BYTES = 4 << 20;

  private static final int MAX_HEAD_BYTES = 8 << 10;

  private final EntrySettings settings;
  private final MillisClock clock = new SystemMillisClock();
  private final ArrivalClock arrivals = new ArrivalClock(clock);
  private final ControlClocks clocks = ControlClocks.of(clock, System::currentTimeMillis);
  private final EventLoopGroup loops = new ClosingEventLoopGroup(1, new ArrivalPasses(arrivals));
  private final EventLoop loop = (EventLoop) loops.next();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EntryRoutingState routingState;
  private final UpstreamRegistry upstreamRegistry;
  private final RequestScheduler scheduler;
  private final UpstreamPath path = new UpstreamPath(clock);
  private final UpstreamReach reach = new UpstreamReach(clock);
  private final UpstreamPathMonitor pathMonitor;
  private final EntryControl control;
  private final QuotaComponents quotas;
  private final CallerAuthentication authentication;
  private final CallerBuffers buffers = new CallerBuffers();
  private final CallerServer callers;
  private final GracefulShutdown shutdown;

  /** Creates an entry VM that is not started. */
  public EntryVm(EntrySettings settings) {
    this(settings, new JsonPlatformRows());
  }

  /**
   * Creates an entry VM that is not started.
   *
   * @param rows reads the rows of operators and upstreams
   */
  EntryVm(EntrySettings settings, PlatformRows rows) {
    this.settings = Assert.notNull(settings, "settings");
    long incarnation = System.currentTimeMillis();
    Random random = new Random(incarnation ^ settings.node().hashCode());
    ExchangeDialect dialect = new HeaderDialect();
    routingState = new EntryRoutingState(rows, clocks, settings.node());
    Function<UpstreamAddress, UpstreamPool> newPool =
        address -> new UpstreamPool(loops, address, dialect, clock);
    upstreamRegistry = new UpstreamRegistry(newPool, random::nextDouble, clock);
    PoisonTracker poisonTracker = new PoisonTracker(PoisonLimits.BY_INCARNATION, clock);
    LossExchange losses =
        new LossExchange(new LossLog(PoisonLimits.BY_INCARNATION, clock), poisonTracker, clock);
    RequestMetrics metrics = new MicrometerRequestMetrics(registry);
    scheduler =
        new RequestScheduler(
            loop,
            clock,
            routingState,
            upstreamRegistry,
            dialect,
            metrics,
            new PoisonGuard(poisonTracker, loop, this::onUpstreamLost, path::isCutOff),
            requestRelay(newPool, random),
            retryBudget(settings),
            random::nextDouble,
            upstreamSelector(settings, metrics, random));
    routingState.setListener(new RoutingStateListener());
    pathMonitor =
        new UpstreamPathMonitor(
            path, routingState, upstreamRegistry, scheduler::onPathChanged, clock, loop, random);
    EntryIdentity identity = identity(settings, incarnation);
    quotas = quotaComponents(identity, metrics);
    control =
        new EntryControl(
            identity,
            settings.seeds(),
            new HttpRowStore(
                new PooledHttpClient(loops, STORE_CONNECTIONS, MAX_ANSWER_BYTES), settings.store()),
            rows,
            upstreamLinks(),
            routingState,
            new ReportContents(losses, quotas.shares()),
            new PooledHttpClient(loops, CONTROL_CONNECTIONS, MAX_MESSAGE_BYTES),
            rangeTiming(settings),
            clocks,
            loop,
            random);
    authentication =
        new CallerAuthentication(dialect, routingState::configurationAgeMs, settings.tenants());
    callers =
        new CallerServer(
            loops,
            new RequestDispatcher(
                routingState, scheduler, authentication, quotas.gate(), this::mayStart, clock),
            routingState::callerLimits,
            clock,
            arrivals,
            buffers);
    shutdown = new GracefulShutdown(callers, scheduler, this::maxRequestMs, clock, loop);
  }

  private boolean mayStart(long deadlineMs) {
    return shutdown.mayStart(deadlineMs);
  }

  private long maxRequestMs() {
    return routingState.configuration().map(RoutingConfiguration::maxTimeoutMs).orElse(0L);
  }

  private RequestRelay requestRelay(
      Function<UpstreamAddress, UpstreamPool> newPool, Random random) {
    return new RequestRelay(
        path, reach, routingState, newPool, clock, random::nextDouble, settings.dataCentre());
  }

  private UpstreamSelector upstreamSelector(
      EntrySettings settings, RequestMetrics metrics, Random random) {
    return new UpstreamSelector(
        path,
        reach,
        clock,
        routingState,
        upstreamRegistry,
        random::nextDouble,
        new VmLocation(settings.node(), settings.dataCentre()),
        new ExpectedCosts(settings.costAware(), metrics, clock, random::nextDouble),
        settings.bounds().drainMs());
  }

  private static EntryIdentity identity(EntrySettings settings, long incarnation) {
    return new EntryIdentity(
        settings.node(),
        incarnation,
        settings.dataCentre(),
        settings.peers(),
        settings.callers().port(),
        settings.processorShare(),
        settings.linkMbps(),
        settings.firstStart());
  }

  private QuotaComponents quotaComponents(EntryIdentity identity, RequestMetrics metrics) {
    EntrySettings.TenantBounds bounds = settings.tenants();
    return new QuotaComponents(
        identity,
        routingState,
        new QuotaTerms(bounds.quotaWindowMs(), bounds.quotaOverrun(), bounds.quotaSlack()),
        new PooledHttpClient(loops, EXCHANGE_CONNECTIONS, MAX_MESSAGE_BYTES),
        metrics,
        clocks,
        loop,
        this::onShareWanted);
  }

  private void onShareWanted() {
    control.reportEarly();
  }

  private UpstreamLinks upstreamLinks() {
    return new UpstreamLinks(
        new HttpRangeCommandClient(loops, CONTROL_CONNECTIONS, MAX_HEAD_BYTES), path::isCutOff);
  }

  private void onUpstreamLost(PoisonReport report) {
    control.onUpstreamLost(report);
  }

  private static RangeTiming rangeTiming(EntrySettings settings) {
    long grantTtlMs = Math.min(MAX_GRANT_TTL_MS, settings.bounds().maxGrantTtlMs());
    return new RangeTiming(
        grantTtlMs,
        Math.min(GRANT_RENEW_INTERVAL_MS, grantTtlMs / 3),
        GRANT_RETRY_MS,
        GRANT_TIMEOUT_MS,
        RELEASE_TIMEOUT_MS,
        GRANT_TTL_MARGIN_MS);
  }

  private static WindowedRetryBudget retryBudget(EntrySettings settings) {
    EntrySettings.Bounds bounds = settings.bounds();
    return new WindowedRetryBudget(
        bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMs());
  }

  private final class RoutingStateListener implements EntryRoutingState.Listener {

    @Override
    public void onUpstreamRestarted(String id) {
      scheduler.onUpstreamRestarted(id);
    }

    @Override
    public void onUpstreamGone(String id) {
      upstreamRegistry.remove(id);
    }

    @Override
    public void onWrongOwner() {
      control.refreshOwners();
    }

    @Override
    public void onNewerConfiguration() {
      control.refreshConfiguration();
    }

    @Override
    public void onLeaving() {
      control.reportEarly();
    }

    @Override
    public void onChange() {
      loop.execute(scheduler::onRoutingChanged);
    }
  }

  /**
   * Starts the listeners and the control tasks.
   *
   * @throws org.foxtailford.core.result.ResultCodeException if a listener can't be bound
   */
  public void start() {
    addGauges();
    HttpLimits limits = new HttpLimits(MAX_HEAD_BYTES, MAX_MESSAGE_BYTES);
    StatusPages pages =
        new StatusPages(
            () -> routingState.isComplete() && !shutdown.isStopping(), registry::scrape);
    new HttpServer(loops, limits, pages).bind(endpoint(settings.readiness()));
    if (settings.metricsPort() > 0) {
      UpstreamAddress metrics =
          new UpstreamAddress(settings.callers().host(), settings.metricsPort());
      new HttpServer(loops, limits, pages).bind(endpoint(metrics));
    }
    new HttpServer(
            loops, limits, new PeerHandler(control::onReport, quotas.exchange()::answer, loop))
        .bind(endpoint(settings.peers()));
    callers.bind(endpoint(settings.callers()));
    loop.execute(
        () -> {
          control.start();
          pathMonitor.start();
          quotas.start();
          scheduler.start();
          new EventLoopMonitor(loop, clock, registry).start();
        });
    logger
        .atInfo()
        .with(EventFields.NODE, settings.node())
        .with(EventFields.DATA_CENTRE, settings.dataCentre())
        .with(EventFields.REASON, "callers " + settings.callers() + " store " + settings.store())
        .log("started");
  }

  private void addGauges() {
    gauge("foxtailford.calls", () -> scheduler.activeRequests());
    gauge("foxtailford.waiting", () -> scheduler.waitingRequests());
    gauge("foxtailford.connections.callers", () -> callers.connections());
    gauge("foxtailford.connections.callers.unread", () -> callers.unreadConnections());
    gauge("foxtailford.callers.read.late", callers::readLate);
    gauge("foxtailford.connections.begun", () -> upstreamRegistry.connects());
    gauge("foxtailford.upstreams", () -> routingState.upstreams().size());
    gauge("foxtailford.rows.unreadable", () -> routingState.unreadableRows());
    gauge("foxtailford.configuration.age", () -> routingState.configurationAgeMs() / 1000.0);
    gauge("foxtailford.upstreams.cut.off", () -> path.isCutOff() ? 1 : 0);
    gauge("foxtailford.bodies.bytes", () -> buffers.bodies().heldBytes());
    gauge("foxtailford.answers.unsent.bytes", () -> buffers.answers().heldBytes());
    gauge("foxtailford.answers.paused", () -> buffers.answers().waiting());
    counter("foxtailford.bodies.refused", memory -> memory.bodies().refusals());
    counter("foxtailford.answers.cut", memory -> memory.answers().cuts());
    gauge("foxtailford.upstreams.body.bytes", () -> upstreamRegistry.bodyBytes());
    gauge("foxtailford.upstreams.byte.limited", () -> upstreamRegistry.byteLimitedUpstreams());
    gauge("foxtailford.quota.shares", () -> quotas.tokens().heldShares());
    gauge("foxtailford.quota.invalid", () -> quotas.tokens().invalidMessages());
    gauge("foxtailford.exchange.calls", () -> quotas.exchange().calls());
    gauge("foxtailford.upstreams.out.of.reach", reach::unreachedCount);
    gauge("foxtailford.leads", () -> control.isLeading() ? 1 : 0);
  }

  private void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  /** Registers a counter of the buffers, which the registry refers to only weakly. */
  private void counter(String name, ToDoubleFunction<CallerBuffers> value) {
    FunctionCounter.builder(name, buffers, value).register(registry);
  }

  private static Endpoint endpoint(UpstreamAddress address) {
    return Endpoint.newBuilder().setHost(address.host()).setPort(address.port()).build();
  }

  /**
   * Applies changed retry limits, bounds of tenants and seeds; other settings apply from the next
   * start.
   */
  public void reload(EntrySettings newSettings) {
    loop.execute(
        () -> {
          scheduler.replaceRetryBounds(newSettings.bounds());
          authentication.replaceBounds(newSettings.tenants());
          control.replaceSeeds(newSettings.seeds());
          logger.atInfo().with(EventFields.NODE, settings.node()).log("settings reloaded");
        });
  }

  /**
   * Begins a graceful shutdown: the readiness check fails at once, and each caller's connection is
   * closed after the answers to the requests that were started on it.
   *
   * @return completes when no request is left or the shutdown time has nearly elapsed
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    loop.execute(
        () -> {
          control.stop();
          shutdown.begin(StopPlan.of(settings.bounds().stopMs()), stopped);
        });
    return stopped;
  }

  /** Shuts down the event loop without waiting for it. */
  public void close() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
