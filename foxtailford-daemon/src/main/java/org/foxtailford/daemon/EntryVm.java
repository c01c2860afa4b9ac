package org.foxtailford.daemon;

import com.google.common.flogger.FluentLogger;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.foxtailford.core.admission.ByteBudget;
import org.foxtailford.core.admission.WorthThreshold;
import org.foxtailford.core.configuration.ConfigurationInForce;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.dissemination.OwnershipFeed;
import org.foxtailford.core.membership.DisseminationTree;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.DataCentreLeader;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.ownership.LeaseElection;
import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.placement.EvenCountPolicy;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.retry.RetryAfter;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.settings.DaemonSettingsReader;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.control.ConfigurationPoller;
import org.foxtailford.daemon.control.ConfigurationSightings;
import org.foxtailford.daemon.control.RoutingState;
import org.foxtailford.daemon.operator.OperatorContext;
import org.foxtailford.daemon.operator.OperatorHandler;
import org.foxtailford.daemon.peer.HeartbeatExchange;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.daemon.request.CallerHandler;
import org.foxtailford.daemon.request.RelaySender;
import org.foxtailford.daemon.request.RequestAttempts;
import org.foxtailford.daemon.request.RequestClassifier;
import org.foxtailford.daemon.request.RequestPath;
import org.foxtailford.daemon.request.UpstreamSender;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.net.peer.PeerMessageHandler;
import org.foxtailford.net.peer.PeerServer;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.net.tls.TlsContexts;
import org.foxtailford.net.tls.TlsFiles;
import org.foxtailford.platform.HttpTableService;
import org.foxtailford.platform.HttpUpstreamGrants;
import org.foxtailford.platform.HttpVmListSource;
import org.foxtailford.schema.ConfigurationDigest;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.PeerHeartbeat;
import org.foxtailford.schema.PlatformSettings;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.foxtailford.schema.RequestSettings;
import org.jspecify.annotations.Nullable;

/** One entry VM: listeners, clients and control loops, assembled from settings. Thread-safe. */
public final class EntryVm implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CONTROL_CONNECTIONS = 16;
  private static final int UPSTREAM_CONNECTIONS = 12;
  private static final int OPERATOR_BODY_BYTES = 4 << 20;
  private static final int FRAME_OVERHEAD_BYTES = 1 << 20;
  private static final int STOP_POLL_MS = 20;
  private static final int HEARTBEAT_INTERVAL_MS = 300;
  private static final int PEER_LOST_AFTER_MS = 1200;
  private static final int OWNERSHIP_HISTORY = 64;
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
  private final Optional<TlsContexts> tls;
  private final RoutingState state;
  private final ConfigurationInForce inForce;
  private final ConfigurationSightings sightings;
  private final ServiceLoads loads;
  private final RequestRouter router;
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
  private final MembershipTracker tracker;
  private final OwnershipFeed feed;
  private final HeartbeatExchange heartbeats;
  private volatile boolean accepting = true;

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
    tls =
        DaemonSettingsReader.isProtected(settings)
            ? Optional.of(new TlsContexts(TlsFiles.of(settings.getTls())))
            : Optional.empty();
    state = new RoutingState(settings.getDataCentre());
    inForce = new ConfigurationInForce(state::acceptConfiguration);
    sightings = new ConfigurationSightings(clock);
    int maxAnswerBytes = settings.getRequests().getMaxAnswerBytes();
    int maxFrameBytes = maxAnswerBytes + FRAME_OVERHEAD_BYTES;
    PeerIdentity self =
        new PeerIdentity(
            settings.getSystemId(), settings.getVm(), settings.getDataCentre(), random.nextLong());
    ChannelSecurity linkSecurity = tls.map(TlsContexts::peerLink).orElse(ChannelSecurity.NONE);
    peers =
        new PeerNetwork(
            self,
            endpoint -> new PeerLink(loops, self, endpoint, maxFrameBytes, linkSecurity),
            random);
    tracker =
        new MembershipTracker(
            settings.getVm(), settings.getDataCentre(), PEER_LOST_AFTER_MS, clock);
    feed = new OwnershipFeed(settings.getDataCentre(), OWNERSHIP_HISTORY);
    heartbeats = new HeartbeatExchange(self, tracker, peers, new SharedState());
    controlClient = new PooledHttpClient(loops, CONTROL_CONNECTIONS, maxAnswerBytes);
    upstreamClient = new PooledHttpClient(loops, UPSTREAM_CONNECTIONS, maxAnswerBytes);
    loads = new ServiceLoads(() -> 1 + peers.countIn(settings.getDataCentre()));
    router = new RequestRouter(new TwoChoicesChooser(random), loads);
    path = newRequestPath(random);
    RequestClassifier classifier =
        new RequestClassifier(settings.getRequests().getDefaultTimeoutMs());
    HttpLimits callerLimits =
        new HttpLimits(
            settings.getRequests().getMaxHeaderBytes(), settings.getRequests().getMaxBodyBytes());
    callers =
        new HttpServer(loops, callerLimits, new CallerHandler(path, classifier, metrics, clock));
    peerServer = newPeerServer(self, maxFrameBytes, classifier);
    PlatformSettings platform = settings.getPlatform();
    TableService table =
        new HttpTableService(controlClient, platform.getAddress(), platform.getTimeoutMs());
    poller =
        new ConfigurationPoller(
            table,
            new HttpVmListSource(controlClient, platform.getAddress(), platform.getTimeoutMs()),
            inForce,
            state,
            vms -> control.execute(() -> tracker.onVmList(vms)),
            metrics);
    OwnershipTiming timing = OwnershipTiming.of(settings.getOwnership());
    election = newElection(table, timing, random, self.bootId());
    leader = newLeader(timing);
    operators = newOperatorServer(table);
  }

  private PeerServer newPeerServer(
      PeerIdentity self, int maxFrameBytes, RequestClassifier classifier) {
    return new PeerServer(
        loops,
        self,
        maxFrameBytes,
        new Messages(classifier),
        tls.map(TlsContexts::peerListener).orElse(ChannelSecurity.NONE));
  }

  private RequestPath newRequestPath(RandomGenerator random) {
    RequestSettings limits = settings.getRequests();
    RetryBudget budget =
        new RetryBudget(
            limits.getRetryBudgetPercent() / PERCENT,
            RETRIES_PER_SECOND,
            RETRY_BURST,
            clock.nowMs());
    RequestAttempts attempts =
        new RequestAttempts(
            router,
            state::snapshot,
            loads,
            new UpstreamSender(upstreamClient),
            new RelaySender(peers::anyIn, metrics, clock),
            new RetryPolicy(limits.getMaxAttempts(), MIN_ATTEMPT_MS, budget),
            budget,
            metrics,
            clock,
            this::schedule,
            limits.getQueueCapacity(),
            limits.getQueueTimeMs());
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
    OperatorContext context =
        new OperatorContext(
            settings.getVm(),
            state::snapshot,
            inForce,
            new ConfigurationStore(table),
            router,
            () -> accepting,
            leader::leads,
            sightings::versions,
            new SecureRandom()::nextLong,
            tls.isPresent(),
            () -> control.execute(guarded(this::poll)));
    OperatorHandler handler = new OperatorHandler(context, registry);
    HttpLimits limits =
        new HttpLimits(settings.getRequests().getMaxHeaderBytes(), OPERATOR_BODY_BYTES);
    return new HttpServer(
        loops,
        limits,
        handler,
        tls.map(TlsContexts::operatorListener).orElse(ChannelSecurity.NONE));
  }

  /** Binds the listeners and starts the control loops. */
  public void start() {
    peerServer.bind(settings.getPeerListener());
    operators.bind(settings.getOperatorListener());
    callers.bind(settings.getCallerListener());
    int pollMs = settings.getPlatform().getPollIntervalMs();
    int renewMs = settings.getOwnership().getRenewIntervalMs();
    control.scheduleWithFixedDelay(guarded(this::poll), 0, pollMs, TimeUnit.MILLISECONDS);
    control.scheduleAtFixedRate(
        guarded(heartbeats::tick), 0, HEARTBEAT_INTERVAL_MS, TimeUnit.MILLISECONDS);
    control.scheduleAtFixedRate(guarded(this::tick), 0, renewMs, TimeUnit.MILLISECONDS);
    int reloadMs = settings.getTls().getReloadIntervalMs();
    tls.ifPresent(
        contexts ->
            control.scheduleWithFixedDelay(
                guarded(() -> reloadCertificates(contexts)),
                reloadMs,
                reloadMs,
                TimeUnit.MILLISECONDS));
    logger.atInfo().log(
        "started %s in %s, callers at %s:%d",
        settings.getVm(),
        settings.getDataCentre(),
        settings.getCallerListener().getHost(),
        settings.getCallerListener().getPort());
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

  private void reloadCertificates(TlsContexts contexts) {
    TlsContexts.Reload outcome = contexts.reload();
    if (outcome != TlsContexts.Reload.UNCHANGED) {
      metrics.certificateReload(outcome.name());
      logger.atInfo().log("changed certificate files: %s", outcome);
    }
  }

  private void poll() {
    poller.poll().exceptionally(EntryVm::reportFailedPoll);
  }

  private void pollConfiguration() {
    poller.pollConfiguration().exceptionally(EntryVm::reportFailedPoll);
  }

  private static @Nullable Void reportFailedPoll(Throwable failure) {
    logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
        "the platform does not answer: %s", failure.getMessage());
    return null;
  }

  private void tick() {
    boolean led = leader.leads();
    election.tick();
    leader.tick();
    if (!led && leader.leads()) {
      metrics.leadershipGained();
      logger.atInfo().log("leads data centre %s", settings.getDataCentre());
    }
  }

  private void publish(OwnershipCheckpoint checkpoint) {
    Fence before = feed.current().version();
    onOwners(feed.accept(checkpoint), before);
  }

  private void onOwners(boolean accepted, Fence before) {
    if (!accepted) {
      return;
    }
    metrics.ownershipUpdate();
    state.acceptOwners(feed.current());
    DisseminationTree tree =
        DisseminationTree.of(
            settings.getDataCentre(),
            tracker.leader(),
            tracker.usableIn(settings.getDataCentre()),
            DisseminationTree.FAN_OUT);
    feed.messageFor(before)
        .ifPresent(
            frame -> tree.children(settings.getVm()).forEach(child -> peers.send(child, frame)));
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
      control.execute(guarded(() -> dispatch(sender, frame)));
    }

    private void dispatch(PeerIdentity sender, PeerFrame frame) {
      Fence before = feed.current().version();
      if (frame.hasHeartbeat()) {
        heartbeats.onHeartbeat(sender, frame.getHeartbeat());
      } else if (frame.hasMembership()) {
        heartbeats.onMembership(frame.getMembership());
      } else if (frame.hasOwnership()) {
        onOwners(feed.accept(frame.getOwnership()), before);
      } else if (frame.hasOwnershipDelta()) {
        onOwners(feed.accept(frame.getOwnershipDelta()), before);
      } else if (frame.hasConfigurationDigest()) {
        onDigest(sender, frame.getConfigurationDigest());
      }
    }

    private void onDigest(PeerIdentity sender, ConfigurationDigest digest) {
      sightings.add(sender.vm(), digest.getVersion());
      if (digest.getVersion() > inForce.version()) {
        pollConfiguration();
      }
    }

    @Override
    public CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request) {
      return path.serveRelayed(request, classifier);
    }
  }

  /** What this VM has and what its neighbours lack. */
  private final class SharedState implements HeartbeatExchange.VersionedState {

    @Override
    public void addVersions(PeerHeartbeat.Builder heartbeat) {
      heartbeat.setOwnershipVersion(feed.current().version().toValue());
    }

    @Override
    public List<PeerFrame> missing(PeerIdentity sender, PeerHeartbeat received) {
      if (!sender.dataCentre().equals(settings.getDataCentre())) {
        return List.of();
      }
      Fence known = Fence.of(received.getOwnershipVersion());
      return feed.messageFor(known).stream().toList();
    }

    @Override
    public Optional<Long> leadingEpoch() {
      return election.lease().map(HeldLease::epoch);
    }
  }
}
