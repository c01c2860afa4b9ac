package org.foxtailford.daemon;

import com.google.common.flogger.FluentLogger;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.foxtailford.core.admission.ByteBudget;
import org.foxtailford.core.admission.WorthThreshold;
import org.foxtailford.core.coldstart.UnguardedAdmission;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.retry.RetryAfter;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.control.ConfigurationPoller;
import org.foxtailford.daemon.control.ConfigurationStore;
import org.foxtailford.daemon.control.RoutingState;
import org.foxtailford.daemon.operator.OperatorHandler;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.daemon.request.CallerHandler;
import org.foxtailford.daemon.request.PlannedStop;
import org.foxtailford.daemon.request.QueueLimits;
import org.foxtailford.daemon.request.RelaySender;
import org.foxtailford.daemon.request.RequestAttempts;
import org.foxtailford.daemon.request.RequestClassifier;
import org.foxtailford.daemon.request.RequestPath;
import org.foxtailford.daemon.request.UpstreamSender;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerMessageHandler;
import org.foxtailford.net.peer.PeerServer;
import org.foxtailford.platform.HttpTableService;
import org.foxtailford.platform.HttpUpstreamGrants;
import org.foxtailford.platform.HttpVmListSource;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PlatformSettings;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.foxtailford.schema.RequestSettings;

/** One entry VM: listeners, clients and control loops, assembled from settings. Thread-safe. */
public final class EntryVm implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CONTROL_CONNECTIONS = 16;
  private static final int UPSTREAM_CONNECTIONS = 12;
  private static final int OPERATOR_BODY_BYTES = 4 << 20;
  private static final int FRAME_OVERHEAD_BYTES = 1 << 20;
  private static final double PERCENT = 100.0;
  private static final double RETRIES_PER_SECOND = 1.0;
  private static final double RETRY_BURST = 20.0;
  private static final long MIN_ATTEMPT_MS = 2;

  private final DaemonSettings settings;
  private final MillisClock clock = new SystemMillisClock();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EventLoopGroup loops;
  private final ScheduledExecutorService control;
  private final RoutingState state;
  private final RequestPath path;
  private final PeerNetwork peers;
  private final CallerHandler callerHandler;
  private final HttpServer callers;
  private final HttpServer operators;
  private final PeerServer peerServer;
  private final PooledHttpClient controlClient;
  private final PooledHttpClient upstreamClient;
  private final LeaseElection election;
  private final DataCentreLeader leader;
  private final ConfigurationPoller poller;
  private final RouterMetrics metrics;
  private volatile boolean accepting = true;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile int callerPort;
  private volatile int operatorPort;

  /**
   * Creates an entry VM that does nothing yet.
   *
   * @param settings checked settings
   * @param eventLoopThreads I/O threads
   */
  public EntryVm(DaemonSettings settings, int eventLoopThreads) {
    this.settings = Assert.notNull(settings, "settings");
    RandomGenerator random = new SecureRandom();
    metrics = new RouterMetrics(registry);
    loops = new MultiThreadIoEventLoopGroup(eventLoopThreads, NioIoHandler.newFactory());
    control = Executors.newSingleThreadScheduledExecutor(r -> new Thread(r, "control"));
    state = new RoutingState(settings.getDataCentre());
    int maxAnswerBytes = settings.getRequests().getMaxAnswerBytes();
    int maxFrameBytes = maxAnswerBytes + FRAME_OVERHEAD_BYTES;
    PeerIdentity self =
        new PeerIdentity(
            settings.getSystemId(), settings.getVm(), settings.getDataCentre(), random.nextLong());
    peers = new PeerNetwork(loops, self, maxFrameBytes);
    controlClient = new PooledHttpClient(loops, CONTROL_CONNECTIONS, maxAnswerBytes);
    upstreamClient = new PooledHttpClient(loops, UPSTREAM_CONNECTIONS, maxAnswerBytes);
    path = newRequestPath(random);
    RequestClassifier classifier =
        new RequestClassifier(settings.getRequests().getDefaultTimeoutMs());
    HttpLimits callerLimits =
        new HttpLimits(
            settings.getRequests().getMaxHeaderBytes(), settings.getRequests().getMaxBodyBytes());
    callerHandler = new CallerHandler(path, classifier, metrics, clock);
    callers = new HttpServer(loops, callerLimits, callerHandler);
    peerServer = new PeerServer(loops, self, maxFrameBytes, new Messages(classifier));
    PlatformSettings platform = settings.getPlatform();
    TableService table =
        new HttpTableService(controlClient, platform.getAddress(), platform.getTimeoutMs());
    poller =
        new ConfigurationPoller(
            table,
            new HttpVmListSource(controlClient, platform.getAddress(), platform.getTimeoutMs()),
            state,
            peers::update);
    OwnershipTiming timing = OwnershipTiming.of(settings.getOwnership());
    election = newElection(table, timing, random, self.bootId());
    leader = newLeader(timing);
    operators = newOperatorServer(table);
  }

  private RequestPath newRequestPath(RandomGenerator random) {
    RequestSettings limits = settings.getRequests();
    ServiceLoads loads = new ServiceLoads(() -> 1 + peers.countIn(settings.getDataCentre()));
    RetryBudget budget =
        new RetryBudget(
            limits.getRetryBudgetPercent() / PERCENT,
            RETRIES_PER_SECOND,
            RETRY_BURST,
            clock.nowMs());
    RequestAttempts attempts =
        new RequestAttempts(
            new RequestRouter(new TwoChoicesChooser(random), loads),
            state::snapshot,
            loads,
            new UpstreamSender(upstreamClient),
            new RelaySender(peers, metrics, clock),
            new RetryPolicy(limits.getMaxAttempts(), MIN_ATTEMPT_MS, budget),
            budget,
            metrics,
            clock,
            this::schedule,
            new UnguardedAdmission(),
            new QueueLimits(limits.getQueueCapacity(), limits.getQueueTimeMs()));
    return new RequestPath(
        attempts,
        state::snapshot,
        new WorthThreshold(limits.getMaxInFlight()),
        new ByteBudget(limits.getMaxBodyMemoryBytes()),
        new RetryAfter(random),
        metrics,
        clock);
  }

  private Runnable schedule(Runnable task, long delayMs) {
    var scheduled = loops.next().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  private LeaseElection newElection(
      TableService table, OwnershipTiming timing, RandomGenerator random, long bootId) {
    return new LeaseElection(
        "leader-" + settings.getDataCentre(),
        settings.getVm(),
        bootId,
        timing,
        table,
        clock,
        random::nextLong,
        control);
  }

  private DataCentreLeader newLeader(OwnershipTiming timing) {
    return new DataCentreLeader(
        settings.getDataCentre(),
        election,
        timing,
        new HttpUpstreamGrants(controlClient, timing.renewIntervalMs()),
        new EvenCountPolicy(1),
        this::publish,
        () -> state.snapshot().configuration(),
        () -> state.snapshot().homes(),
        clock,
        control);
  }

  private HttpServer newOperatorServer(TableService table) {
    OperatorHandler handler =
        new OperatorHandler(
            settings.getVm(),
            state::snapshot,
            () -> accepting,
            leader::leads,
            registry,
            new ConfigurationStore(table));
    HttpLimits limits =
        new HttpLimits(settings.getRequests().getMaxHeaderBytes(), OPERATOR_BODY_BYTES);
    return new HttpServer(loops, limits, handler);
  }

  /** Binds the listeners and starts the control loops. */
  public void start() {
    peerServer.bind(settings.getPeerListener());
    operatorPort = operators.bind(settings.getOperatorListener());
    callerPort = callers.bind(settings.getCallerListener());
    int pollMs = settings.getPlatform().getPollIntervalMs();
    int renewMs = settings.getOwnership().getRenewIntervalMs();
    control.scheduleWithFixedDelay(guarded(this::poll), 0, pollMs, TimeUnit.MILLISECONDS);
    control.scheduleAtFixedRate(guarded(this::tick), 0, renewMs, TimeUnit.MILLISECONDS);
    logger.atInfo().log(
        "started %s in %s, callers at %s:%d",
        settings.getVm(),
        settings.getDataCentre(),
        settings.getCallerListener().getHost(),
        settings.getCallerListener().getPort());
  }

  /** Returns the port where callers connect; zero before the start. */
  public int callerPort() {
    return callerPort;
  }

  /** Returns the port where operators connect; zero before the start. */
  public int operatorPort() {
    return operatorPort;
  }

  private static Runnable guarded(Runnable step) {
    return () -> {
      try {
        step.run();
      } catch (RuntimeException e) {
        logger.atSevere().withCause(e).log("control step failed");
      }
    };
  }

  private void poll() {
    poller
        .poll()
        .exceptionally(
            failure -> {
              logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                  "the platform does not answer: %s", failure.getMessage());
              return null;
            });
  }

  private void tick() {
    boolean led = leader.leads();
    election.tick();
    leader.tick();
    peers.connectAll();
    if (!led && leader.leads()) {
      metrics.leadershipGained();
      logger.atInfo().log("leads data centre %s", settings.getDataCentre());
    }
  }

  private void publish(OwnershipCheckpoint checkpoint) {
    acceptOwners(checkpoint);
    peers.broadcastLocally(PeerFrame.newBuilder().setOwnership(checkpoint).build());
  }

  private void acceptOwners(OwnershipCheckpoint checkpoint) {
    if (state.acceptOwners(OwnershipMap.of(checkpoint))) {
      metrics.ownershipUpdate();
    }
  }

  /**
   * Stops in order: reports not ready so that the balancer leaves it out, serves on for the
   * announced time, finishes what is in flight, then closes.
   *
   * @param graceMs longest wait for requests in flight after the announced time, in milliseconds
   * @return completes when everything is closed
   */
  public CompletableFuture<Void> stop(long graceMs) {
    accepting = false;
    long announceMs = settings.getRequests().getStopAnnounceMs();
    return new PlannedStop(callers, callerHandler, path, clock, this::schedule)
        .start(announceMs, graceMs)
        .thenRunAsync(this::close);
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    control.shutdownNow();
    callers.close();
    operators.close();
    peerServer.close();
    peers.close();
    controlClient.close();
    upstreamClient.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /** Receives messages of other entry VMs. */
  private final class Messages implements PeerMessageHandler {

    private final RequestClassifier classifier;

    Messages(RequestClassifier classifier) {
      this.classifier = classifier;
    }

    @Override
    public void onMessage(PeerIdentity sender, PeerFrame frame) {
      if (frame.hasOwnership()) {
        acceptOwners(frame.getOwnership());
      }
    }

    @Override
    public CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request) {
      return path.serveRelayed(request, classifier);
    }
  }
}
