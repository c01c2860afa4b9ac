package org.foxtailford.entry;

import com.google.common.flogger.FluentLogger;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.overload.StopPlan;
import org.foxtailford.core.overload.WindowedRetryBudget;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.entry.control.ControlClocks;
import org.foxtailford.entry.control.EntryControl;
import org.foxtailford.entry.control.EntryIdentity;
import org.foxtailford.entry.control.EntryRoutingState;
import org.foxtailford.entry.metrics.MicrometerRequestMetrics;
import org.foxtailford.entry.request.RequestEntrance;
import org.foxtailford.entry.request.RequestScheduler;
import org.foxtailford.entry.request.UpstreamBook;
import org.foxtailford.entry.settings.EntrySettings;
import org.foxtailford.net.exchange.ExchangeDialect;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.net.http.SessionClient;
import org.foxtailford.net.proxy.CallerServer;
import org.foxtailford.net.proxy.UpstreamPool;
import org.foxtailford.platform.HeaderDialect;
import org.foxtailford.platform.HttpRangeCommandClient;
import org.foxtailford.platform.HttpRowStore;
import org.foxtailford.platform.JsonPlatformRows;
import org.foxtailford.schema.Endpoint;

/** One entry VM: assembles its parts and starts and stops them. */
public final class EntryVm {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Longest hold time of a grant, in milliseconds; less if the upstreams allow less. */
  private static final long HOLD_MS = 3000;

  private static final long RENEW_GRANT_MS = 800;
  private static final long GRANT_RETRY_MS = 300;
  private static final long GRANT_CALL_MS = 700;
  private static final long RELEASE_CALL_MS = 3000;
  private static final long HOLD_MARGIN_MS = 100;

  /** Connections to one address for orders, the store and peers. */
  private static final int CALL_CONNECTIONS = 4;

  private static final int STORE_CONNECTIONS = 6;

  /** Largest answer of the store or a peer, in bytes; the store's own limit. */
  private static final int LARGEST_ANSWER = 2 << 20;

  /** Largest message of a peer, in bytes. */
  private static final int LARGEST_MESSAGE = 4 << 20;

  private static final int LARGEST_HEAD = 8 << 10;

  private final EntrySettings settings;
  private final MillisClock clock = new SystemMillisClock();
  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = (EventLoop) loops.next();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EntryRoutingState knowledge;
  private final UpstreamBook book;
  private final RequestScheduler scheduler;
  private final EntryControl control;
  private final CallerServer callers;
  private final StopProgress progress;

  /** Assembles an entry VM that has not begun. */
  public EntryVm(EntrySettings settings) {
    this.settings = Assert.notNull(settings, "settings");
    long life = System.currentTimeMillis();
    Random random = new Random(life ^ settings.node().hashCode());
    ExchangeDialect dialect = new HeaderDialect();
    JsonPlatformRows rows = new JsonPlatformRows();
    knowledge = new EntryRoutingState(rows, clock, settings.node());
    book =
        new UpstreamBook(
            address -> new UpstreamPool(loops, address, dialect, clock), random::nextDouble);
    scheduler =
        new RequestScheduler(
            loop,
            clock,
            knowledge,
            book,
            dialect,
            new MicrometerRequestMetrics(registry),
            retries(settings),
            random::nextDouble,
            settings.node(),
            settings.dataCentre());
    knowledge.setListener(new KnowledgeListener());
    long holdMs = Math.min(HOLD_MS, settings.bounds().maxHoldMs());
    control =
        new EntryControl(
            new EntryIdentity(
                settings.node(),
                life,
                settings.dataCentre(),
                settings.peers(),
                settings.processorShare(),
                settings.linkMbps()),
            settings.seeds(),
            new HttpRowStore(
                new PooledHttpClient(loops, STORE_CONNECTIONS, LARGEST_ANSWER), settings.store()),
            rows,
            new HttpRangeCommandClient(
                new SessionClient(loops, LARGEST_HEAD),
                new PooledHttpClient(loops, CALL_CONNECTIONS, LARGEST_HEAD)),
            knowledge,
            new PooledHttpClient(loops, CALL_CONNECTIONS, LARGEST_MESSAGE),
            new RangeTiming(
                holdMs,
                Math.min(RENEW_GRANT_MS, holdMs / 3),
                GRANT_RETRY_MS,
                GRANT_CALL_MS,
                RELEASE_CALL_MS,
                HOLD_MARGIN_MS),
            new ControlClocks(clock, System::currentTimeMillis),
            loop,
            random);
    callers =
        new CallerServer(
            loops, new RequestEntrance(knowledge, scheduler), knowledge::callerLimits, clock);
    progress = new StopProgress(callers, scheduler, clock, loop);
  }

  private static WindowedRetryBudget retries(EntrySettings settings) {
    EntrySettings.Bounds bounds = settings.bounds();
    return new WindowedRetryBudget(
        bounds.retryRatio(), bounds.retrySlack(), bounds.retryWindowMs());
  }

  private final class KnowledgeListener implements EntryRoutingState.Listener {

    @Override
    public void onUpstreamGone(String id) {
      book.drop(id);
    }

    @Override
    public void onWrongOwner() {
      control.refreshOwners();
    }

    @Override
    public void onChange() {
      loop.execute(scheduler::tick);
    }
  }

  /** Starts to listen and to learn. */
  public void start() {
    addGauges();
    HttpLimits limits = new HttpLimits(LARGEST_HEAD, LARGEST_MESSAGE);
    StatusPages pages =
        new StatusPages(() -> knowledge.isComplete() && !progress.isStopping(), registry::scrape);
    new HttpServer(loops, limits, pages).bind(endpoint(settings.readiness()));
    if (settings.metricsPort() > 0) {
      UpstreamAddress metrics =
          new UpstreamAddress(settings.callers().host(), settings.metricsPort());
      new HttpServer(loops, limits, pages).bind(endpoint(metrics));
    }
    new HttpServer(loops, limits, new PeerHandler(control::onReport, loop))
        .bind(endpoint(settings.peers()));
    callers.bind(endpoint(settings.callers()));
    loop.execute(
        () -> {
          control.start();
        });
    logger
        .atInfo()
        .with(EventFields.NODE, settings.node())
        .with(EventFields.DATA_CENTRE, settings.dataCentre())
        .with(EventFields.REASON, "callers " + settings.callers() + " store " + settings.store())
        .log("started");
  }

  private void addGauges() {
    gauge("foxtailford.calls", () -> scheduler.calls());
    gauge("foxtailford.waiting", () -> scheduler.waiting());
    gauge("foxtailford.connections.callers", () -> callers.connections());
    gauge("foxtailford.connections.begun", () -> book.connects());
    gauge("foxtailford.upstreams", () -> knowledge.upstreams().size());
    gauge("foxtailford.rows.unreadable", () -> knowledge.unreadableRows());
    gauge("foxtailford.leads", () -> control.isLeading() ? 1 : 0);
  }

  private void gauge(String name, Supplier<Number> value) {
    Gauge.builder(name, value).register(registry);
  }

  private static Endpoint endpoint(UpstreamAddress address) {
    return Endpoint.newBuilder().setHost(address.host()).setPort(address.port()).build();
  }

  /** Takes changed settings: budgets and seeds; addresses stay until the next start. */
  public void reload(EntrySettings changed) {
    loop.execute(
        () -> {
          scheduler.replaceRetries(retries(changed));
          control.replaceSeeds(changed.seeds());
          logger.atInfo().with(EventFields.NODE, settings.node()).log("settings read again");
        });
  }

  /**
   * Stops: not ready at once, then each connection ends with its next answer, then the process may
   * end.
   *
   * @return done when no request is left, or the time is nearly up
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    loop.execute(
        () -> {
          control.stop();
          long longestMs =
              knowledge.configuration().map(RoutingConfiguration::maxTimeoutMs).orElse(0L);
          progress.begin(StopPlan.of(settings.bounds().stopMs(), longestMs), stopped);
        });
    return stopped;
  }

  /** Ends the event loop. */
  public void close() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
