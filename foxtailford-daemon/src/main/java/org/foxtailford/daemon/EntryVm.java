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
import java.util.random.RandomGenerator;
import org.foxtailford.core.idempotency.RecordLimits;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.routing.InFlightCounter;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.control.ConfigurationPoller;
import org.foxtailford.daemon.control.ConfigurationStore;
import org.foxtailford.daemon.control.RoutingState;
import org.foxtailford.daemon.idempotency.RequestGuard;
import org.foxtailford.daemon.idempotency.RequestRecords;
import org.foxtailford.daemon.operator.OperatorHandler;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.daemon.request.CallerHandler;
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
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PlatformSettings;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.foxtailford.schema.VmList;

/** One entry VM: listeners, clients and control loops, assembled from settings. Thread-safe. */
public final class EntryVm implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CONTROL_CONNECTIONS = 16;
  private static final int UPSTREAM_CONNECTIONS = 12;
  private static final int OPERATOR_BODY_BYTES = 4 << 20;
  private static final int FRAME_OVERHEAD_BYTES = 1 << 20;
  private static final int STOP_POLL_MS = 20;

  private final DaemonSettings settings;
  private final MillisClock clock = new SystemMillisClock();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EventLoopGroup loops;
  private final ScheduledExecutorService control;
  private final RoutingState state;
  private final RequestRecords records;
  private final PoisonTracker poison;
  private final RequestPath path;
  private final PeerNetwork peers;
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
  private volatile int callerPort;
  private volatile int peerPort;

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
    poison = new PoisonTracker(PoisonLimits.DEFAULT, clock);
    int maxAnswerBytes = settings.getRequests().getMaxAnswerBytes();
    int maxFrameBytes = maxAnswerBytes + FRAME_OVERHEAD_BYTES;
    PeerIdentity self =
        new PeerIdentity(
            settings.getSystemId(), settings.getVm(), settings.getDataCentre(), random.nextLong());
    peers = new PeerNetwork(loops, self, maxFrameBytes);
    controlClient = new PooledHttpClient(loops, CONTROL_CONNECTIONS, maxAnswerBytes);
    upstreamClient = new PooledHttpClient(loops, UPSTREAM_CONNECTIONS, maxAnswerBytes);
    PlatformSettings platform = settings.getPlatform();
    TableService table =
        new HttpTableService(controlClient, platform.getAddress(), platform.getTimeoutMs());
    records = new RequestRecords(self, peers, table, this::leads, RecordLimits.DEFAULT, clock);
    path = newRequestPath(random);
    RequestClassifier classifier =
        new RequestClassifier(settings.getRequests().getDefaultTimeoutMs());
    HttpLimits callerLimits =
        new HttpLimits(
            settings.getRequests().getMaxHeaderBytes(), settings.getRequests().getMaxBodyBytes());
    callers =
        new HttpServer(loops, callerLimits, new CallerHandler(path, classifier, metrics, clock));
    peerServer = new PeerServer(loops, self, maxFrameBytes, new Messages(classifier));
    poller =
        new ConfigurationPoller(
            table,
            new HttpVmListSource(controlClient, platform.getAddress(), platform.getTimeoutMs()),
            state,
            this::acceptVms);
    OwnershipTiming timing = OwnershipTiming.of(settings.getOwnership());
    election = newElection(table, timing, random, self.bootId());
    leader = newLeader(timing);
    operators = newOperatorServer(table);
  }

  private RequestPath newRequestPath(RandomGenerator random) {
    InFlightCounter inFlight = new InFlightCounter();
    RequestRouter router =
        new RequestRouter(new TwoChoicesChooser(u -> inFlight.inFlight(u.name()), random));
    return new RequestPath(
        router,
        state::snapshot,
        new UpstreamSender(upstreamClient, inFlight),
        newRequestGuard(),
        peers,
        metrics,
        clock,
        settings.getRequests().getMaxInFlight());
  }

  private RequestGuard newRequestGuard() {
    return new RequestGuard(
        records.coordinator(),
        poison,
        report -> peers.broadcast(PeerFrame.newBuilder().setPoisonReport(report).build()),
        metrics,
        clock);
  }

  private boolean leads() {
    return leader.leads();
  }

  private void acceptVms(VmList vms) {
    peers.update(vms);
    records
        .poll(vms)
        .exceptionally(
            failure -> {
              logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                  "the roster of request records can't be read: %s", failure.getMessage());
              return null;
            });
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
    peerPort = peerServer.bind(settings.getPeerListener());
    operators.bind(settings.getOperatorListener());
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

  /** Returns the port that callers use, once started. */
  public int callerPort() {
    return callerPort;
  }

  /** Returns the port that other entry VMs use, once started. */
  public int peerPort() {
    return peerPort;
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
    records.tick();
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
   * Stops in order: leaves the balancer, finishes what is in flight, then closes.
   *
   * @param graceMs longest wait for requests in flight, in milliseconds
   * @return completes when everything is closed
   */
  public CompletableFuture<Void> stop(long graceMs) {
    accepting = false;
    callers.stopListening();
    CompletableFuture<Void> stopped = new CompletableFuture<>();
    awaitIdle(clock.nowMs() + graceMs, stopped);
    return stopped.thenRunAsync(this::close);
  }

  private void awaitIdle(long untilMs, CompletableFuture<Void> idle) {
    if (path.inFlight() == 0 || clock.nowMs() >= untilMs) {
      path.stopAccepting();
      idle.complete(null);
      return;
    }
    control.schedule(() -> awaitIdle(untilMs, idle), STOP_POLL_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
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
      } else if (frame.hasClaimEnd()) {
        records.holder().end(frame.getClaimEnd());
      } else if (frame.hasPoisonReport()) {
        poison.receive(frame.getPoisonReport());
      }
    }

    @Override
    public ClaimAnswer onClaim(PeerIdentity sender, ClaimRequest request) {
      return records.holder().claim(request);
    }

    @Override
    public HandOverPage onHandOver(PeerIdentity sender, HandOverRequest request) {
      return records.holder().handOver(request);
    }

    @Override
    public CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request) {
      return path.serveRelayed(request, classifier);
    }
  }
}
