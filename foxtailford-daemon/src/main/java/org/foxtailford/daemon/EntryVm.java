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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.foxtailford.core.coldstart.GateTiming;
import org.foxtailford.core.configuration.ActiveConfiguration;
import org.foxtailford.core.configuration.ConfigurationPropagation;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.configuration.PropagationTiming;
import org.foxtailford.core.idempotency.RecordLimits;
import org.foxtailford.core.load.SliceLoadRecorder;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.CheckpointReader;
import org.foxtailford.core.ownership.CheckpointWriter;
import org.foxtailford.core.platform.ObjectStore;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.settings.DaemonSettingsReader;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.coldstart.ColdStarts;
import org.foxtailford.daemon.coldstart.PeerRelayRoutes;
import org.foxtailford.daemon.coldstart.TrackedMembership;
import org.foxtailford.daemon.control.CertificateReload;
import org.foxtailford.daemon.control.ConfigurationExchange;
import org.foxtailford.daemon.control.ConfigurationPoller;
import org.foxtailford.daemon.control.ConfigurationSightings;
import org.foxtailford.daemon.control.ControlLoop;
import org.foxtailford.daemon.control.GrantTimes;
import org.foxtailford.daemon.control.HomesPoller;
import org.foxtailford.daemon.control.KnownHomes;
import org.foxtailford.daemon.control.Leadership;
import org.foxtailford.daemon.control.PlatformClients;
import org.foxtailford.daemon.control.RoutingState;
import org.foxtailford.daemon.idempotency.RequestGuard;
import org.foxtailford.daemon.idempotency.RequestRecords;
import org.foxtailford.daemon.load.LoadCountingGuard;
import org.foxtailford.daemon.load.LoadReporter;
import org.foxtailford.daemon.operator.OperatorContext;
import org.foxtailford.daemon.operator.OperatorHandler;
import org.foxtailford.daemon.peer.HeartbeatExchange;
import org.foxtailford.daemon.peer.HomesDisseminator;
import org.foxtailford.daemon.peer.OwnerDisseminator;
import org.foxtailford.daemon.peer.OwnerPublication;
import org.foxtailford.daemon.peer.PeerDispatcher;
import org.foxtailford.daemon.peer.PeerFrameHandler;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.daemon.peer.PoisonReports;
import org.foxtailford.daemon.peer.SharedVersions;
import org.foxtailford.daemon.request.CallerHandler;
import org.foxtailford.daemon.request.GracefulShutdown;
import org.foxtailford.daemon.request.GuardedSender;
import org.foxtailford.daemon.request.RelaySender;
import org.foxtailford.daemon.request.RequestClassifier;
import org.foxtailford.daemon.request.RequestPath;
import org.foxtailford.daemon.request.RequestPathFactory;
import org.foxtailford.daemon.request.UpstreamSender;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.net.peer.LinkTimeouts;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.net.peer.PeerServer;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.net.tls.TlsContexts;
import org.foxtailford.net.tls.TlsFiles;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.HomesRow;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RequestSettings;
import org.foxtailford.schema.VmList;
import org.jspecify.annotations.Nullable;

/** An entry VM: listeners, clients and control tasks, assembled from settings. Thread-safe. */
public final class EntryVm implements AutoCloseable {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_CONTROL_CONNECTIONS = 16;
  private static final int MAX_UPSTREAM_CONNECTIONS = 12;
  private static final int MAX_OPERATOR_BODY_BYTES = 4 << 20;
  private static final int FRAME_OVERHEAD_BYTES = 1 << 20;
  private static final int HEARTBEAT_INTERVAL_MS = 300;
  private static final int PEER_TIMEOUT_MS = 1200;
  private static final long BOOT_ID_TIMEOUT_MS = 1000;

  private final DaemonSettings settings;
  private final MillisClock clock = new SystemMillisClock();
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final EventLoopGroup eventLoops;
  private final ControlLoop control = new ControlLoop();
  private final Optional<TlsContexts> tls;
  private final RoutingState state;
  private final ActiveConfiguration activeConfiguration;
  private final ConfigurationSightings sightings;
  private final ServiceLoads loads;
  private final RequestRouter router;
  private final RequestRecords records;
  private final PoisonTracker poison;
  private final RequestGuard requestGuard;
  private final RequestPath requestPath;
  private final PeerNetwork peers;
  private final CallerHandler callerHandler;
  private final HttpServer callerServer;
  private final HttpServer operatorServer;
  private final PeerServer peerServer;
  private final PooledHttpClient controlClient;
  private final PlatformClients platform;
  private final PooledHttpClient upstreamClient;
  private final ColdStarts coldStarts;
  private final Leadership leadership;
  private final OwnerPublication publication;
  private final ConfigurationPoller poller;
  private final HomesDisseminator homesDisseminator;
  private final HomesPoller homesPoller;
  private final ConfigurationExchange configurations;
  private final RouterMetrics metrics;
  private final MembershipTracker tracker;
  private final OwnerDisseminator owners;
  private final HeartbeatExchange heartbeats;
  private final SliceLoadRecorder loadRecorder;
  private final LoadReporter loadReporter;
  private volatile boolean accepting = true;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile int callerPort;
  private volatile int peerPort;
  private volatile int operatorPort;

  /**
   * Creates an entry VM without binding listeners or starting control tasks.
   *
   * @param settings validated settings
   * @param eventLoopThreads number of I/O threads
   */
  public EntryVm(DaemonSettings settings, int eventLoopThreads) {
    this.settings = Assert.notNull(settings, "settings");
    RandomGenerator random = new SecureRandom();
    metrics = new RouterMetrics(registry);
    eventLoops = new MultiThreadIoEventLoopGroup(eventLoopThreads, NioIoHandler.newFactory());
    tls =
        DaemonSettingsReader.isTlsConfigured(settings)
            ? Optional.of(new TlsContexts(TlsFiles.of(settings.getTls())))
            : Optional.empty();
    state = new RoutingState(settings.getDataCentre());
    activeConfiguration = new ActiveConfiguration(state::acceptConfiguration);
    sightings = new ConfigurationSightings(clock);
    poison = new PoisonTracker(PoisonLimits.DEFAULT, clock);
    int maxAnswerBytes = settings.getRequests().getMaxAnswerBytes();
    int maxFrameBytes = maxAnswerBytes + FRAME_OVERHEAD_BYTES;
    PeerIdentity self = newIdentity(random);
    peers = newPeerNetwork(self, maxFrameBytes, random);
    tracker =
        new MembershipTracker(settings.getVm(), settings.getDataCentre(), PEER_TIMEOUT_MS, clock);
    owners = new OwnerDisseminator(self, tracker, peers, state, metrics);
    heartbeats =
        new HeartbeatExchange(
            self,
            tracker,
            peers,
            new SharedVersions(
                settings.getDataCentre(),
                activeConfiguration,
                sightings,
                owners,
                this::leadingEpoch));
    loadRecorder = new SliceLoadRecorder(self.vm(), self.bootId());
    controlClient = new PooledHttpClient(eventLoops, MAX_CONTROL_CONNECTIONS, maxAnswerBytes);
    upstreamClient = newUpstreamClient(maxAnswerBytes);
    coldStarts = newColdStarts(self);
    loads = new ServiceLoads(() -> 1 + peers.countIn(settings.getDataCentre()));
    router = new RequestRouter(new TwoChoicesChooser(random), loads);
    platform = new PlatformClients(controlClient, settings.getPlatform(), settings.getOwnership());
    TableService table = platform.table();
    records = new RequestRecords(self, peers, table, this::isLeader, RecordLimits.DEFAULT, clock);
    metrics.records(records.holder()::rosterVersion, records.holder()::isSettled);
    requestGuard = newRequestGuard();
    requestPath = newRequestPath(random);
    RequestClassifier classifier =
        new RequestClassifier(settings.getRequests().getDefaultTimeoutMs());
    callerHandler = new CallerHandler(requestPath, classifier, metrics, clock);
    callerServer = new HttpServer(eventLoops, callerLimits(), callerHandler);
    poller = newPoller(table);
    KnownHomes homes = new KnownHomes(state, this::announceHomes);
    homesDisseminator =
        new HomesDisseminator(self, homes, peers, heartbeats::tree, peers::openElsewhere);
    homesPoller =
        new HomesPoller(table, () -> state.snapshot().configuration(), homes, metrics, clock);
    configurations = newConfigurationExchange(random);
    publication = newOwnerPublication(table, random);
    leadership = newLeadership(self, table, random);
    loadReporter = newLoadReporter(self);
    peerServer = newPeerServer(self, maxFrameBytes, classifier);
    operatorServer = newOperatorServer(table);
  }

  private PeerNetwork newPeerNetwork(PeerIdentity self, int maxFrameBytes, RandomGenerator random) {
    ChannelSecurity security = tls.map(TlsContexts::peerLink).orElse(ChannelSecurity.NONE);
    return new PeerNetwork(
        self,
        to -> new PeerLink(eventLoops, self, to, maxFrameBytes, LinkTimeouts.DEFAULT, security),
        random);
  }

  private PeerIdentity newIdentity(RandomGenerator random) {
    return new PeerIdentity(
        settings.getSystemId(), settings.getVm(), settings.getDataCentre(), random.nextLong());
  }

  private HttpLimits callerLimits() {
    RequestSettings requests = settings.getRequests();
    return new HttpLimits(requests.getMaxHeaderBytes(), requests.getMaxBodyBytes());
  }

  private ConfigurationPoller newPoller(TableService table) {
    return new ConfigurationPoller(
        table,
        platform.vmList(),
        activeConfiguration,
        vms -> control.execute(() -> acceptVms(vms)),
        metrics);
  }

  private ConfigurationExchange newConfigurationExchange(RandomGenerator random) {
    return new ConfigurationExchange(
        new ConfigurationPropagation(
            settings.getVm(), PropagationTiming.DEFAULT, activeConfiguration, clock, random),
        poller,
        activeConfiguration,
        peers,
        clock,
        control);
  }

  private Leadership newLeadership(PeerIdentity self, TableService table, RandomGenerator random) {
    return new Leadership(
        self,
        settings.getOwnership(),
        new Leadership.Tables(platform.leaseTable(), table),
        platform.grants(),
        publication,
        state,
        () -> tracker.usableVms(settings.getDataCentre()),
        this::pollHomes,
        metrics,
        clock,
        random::nextLong,
        control);
  }

  private OwnerPublication newOwnerPublication(TableService table, RandomGenerator random) {
    String dataCentre = settings.getDataCentre();
    ObjectStore objects = platform.objects();
    return new OwnerPublication(
        dataCentre,
        new GrantTimes(() -> state.snapshot().owners(), System::currentTimeMillis),
        owners,
        new CheckpointWriter(dataCentre, table, objects, clock, random::nextLong, control),
        new CheckpointReader(table, objects),
        control);
  }

  private LoadReporter newLoadReporter(PeerIdentity self) {
    return new LoadReporter(
        self,
        loadRecorder,
        leadership.loads(),
        tracker,
        peers,
        () -> state.snapshot().owners(),
        this::isLeader,
        clock);
  }

  private PeerServer newPeerServer(
      PeerIdentity self, int maxFrameBytes, RequestClassifier classifier) {
    return new PeerServer(
        eventLoops,
        self,
        maxFrameBytes,
        LinkTimeouts.DEFAULT,
        new PeerDispatcher(frameHandlers(), records, requestPath, classifier, control),
        tls.map(TlsContexts::peerListener).orElse(ChannelSecurity.NONE));
  }

  private List<PeerFrameHandler> frameHandlers() {
    return List.of(
        heartbeats,
        (sender, frame) -> configurations.onFrame(sender.vm(), frame),
        (sender, frame) -> owners.onFrame(frame),
        homesDisseminator,
        coldStarts.gates()::onFrame,
        loadReporter::onFrame,
        new PoisonReports(poison));
  }

  private PooledHttpClient newUpstreamClient(int maxAnswerBytes) {
    return new PooledHttpClient(
        eventLoops, MAX_UPSTREAM_CONNECTIONS, maxAnswerBytes, this::onBootId);
  }

  private ColdStarts newColdStarts(PeerIdentity self) {
    return new ColdStarts(
        self,
        new TrackedMembership(self.dataCentre(), tracker, () -> leadership.lease()),
        peers,
        peers::broadcast,
        () -> state.snapshot().configuration(),
        GateTiming.of(settings.getOwnership().getClockRateMarginPpm()),
        address -> upstreamClient.readBootId(address, BOOT_ID_TIMEOUT_MS),
        upstream -> requestGuard.onUpstreamRestarted(upstream),
        clock,
        control);
  }

  private void onBootId(Endpoint address, long bootId) {
    coldStarts.admission().onBootId(address, bootId);
  }

  private RequestPath newRequestPath(RandomGenerator random) {
    RequestPathFactory factory =
        new RequestPathFactory(
            settings.getRequests(), router, loads, state::snapshot, metrics, clock, this::schedule);
    return factory.create(
        new GuardedSender(
            new LoadCountingGuard(requestGuard, loadRecorder), new UpstreamSender(upstreamClient)),
        new RelaySender(new PeerRelayRoutes(peers, coldStarts.gates()), metrics, clock),
        coldStarts.admission(),
        random);
  }

  private Runnable schedule(Runnable task, long delayMs) {
    var scheduled = eventLoops.next().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    return () -> scheduled.cancel(false);
  }

  private RequestGuard newRequestGuard() {
    return new RequestGuard(
        records.coordinator(),
        poison,
        report -> peers.broadcast(PeerFrame.newBuilder().setPoisonReport(report).build()),
        metrics,
        clock);
  }

  private Optional<Long> leadingEpoch() {
    return leadership.leadingEpoch();
  }

  private boolean isLeader() {
    return leadership.isLeading();
  }

  private void acceptVms(VmList vms) {
    tracker.onVmList(vms);
    records
        .poll(vms)
        .exceptionally(
            failure -> {
              logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                  "cannot read the roster of request records: %s", failure.getMessage());
              return null;
            });
  }

  private HttpServer newOperatorServer(TableService table) {
    OperatorContext context =
        new OperatorContext(
            settings.getVm(),
            state::snapshot,
            activeConfiguration,
            new ConfigurationStore(table),
            router,
            () -> accepting,
            leadership::isLeading,
            sightings::versions,
            new SecureRandom()::nextLong,
            tls.isPresent(),
            () -> control.execute(configurations::refresh));
    OperatorHandler handler = new OperatorHandler(context, registry);
    HttpLimits limits =
        new HttpLimits(settings.getRequests().getMaxHeaderBytes(), MAX_OPERATOR_BODY_BYTES);
    return new HttpServer(
        eventLoops,
        limits,
        handler,
        tls.map(TlsContexts::operatorListener).orElse(ChannelSecurity.NONE));
  }

  /** Binds the listeners and starts the control tasks. */
  public void start() {
    peerPort = peerServer.bind(settings.getPeerListener());
    operatorPort = operatorServer.bind(settings.getOperatorListener());
    callerPort = callerServer.bind(settings.getCallerListener());
    control.execute(() -> publication.loadSaved().exceptionally(EntryVm::reportFailedPoll));
    control.runWithFixedDelay(this::poll, 0, settings.getPlatform().getPollIntervalMs());
    control.runAtFixedRate(heartbeats::tick, HEARTBEAT_INTERVAL_MS);
    control.runAtFixedRate(this::tick, settings.getOwnership().getRenewIntervalMs());
    int reloadMs = settings.getTls().getReloadIntervalMs();
    tls.map(contexts -> new CertificateReload(contexts, metrics))
        .ifPresent(reload -> control.runWithFixedDelay(reload, reloadMs, reloadMs));
    logger.atInfo().log(
        "started entry VM %s in data centre %s, caller listener at %s:%d",
        settings.getVm(),
        settings.getDataCentre(),
        settings.getCallerListener().getHost(),
        settings.getCallerListener().getPort());
  }

  /** Returns the port of the caller listener, or zero before the start. */
  public int callerPort() {
    return callerPort;
  }

  /** Returns the port of the peer listener, or zero before the start. */
  public int peerPort() {
    return peerPort;
  }

  /** Returns the port of the operator listener, or zero before the start. */
  public int operatorPort() {
    return operatorPort;
  }

  private void announceHomes(HomesRow row) {
    control.execute(() -> homesDisseminator.announce(row));
  }

  private void poll() {
    poller.poll().exceptionally(EntryVm::reportFailedPoll);
    pollHomes();
  }

  private CompletableFuture<Void> pollHomes() {
    return homesPoller.poll().exceptionally(EntryVm::reportFailedPoll);
  }

  private static @Nullable Void reportFailedPoll(Throwable failure) {
    logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
        "platform request failed: %s", failure.getMessage());
    return null;
  }

  private void tick() {
    leadership.tick();
    loadReporter.tick();
    publication.tick();
    coldStarts.tick();
    records.tick();
    configurations.tick(
        heartbeats.tree(), peers.openIn(settings.getDataCentre()), peers.openElsewhere());
  }

  /**
   * Shuts down gracefully: reports not ready so that the load balancer removes this VM, keeps
   * serving for the announcement time, finishes the requests in flight, then closes.
   *
   * @param graceMs maximum wait for requests in flight after the announcement time, in milliseconds
   * @return future that completes when everything is closed
   */
  public CompletableFuture<Void> stop(long graceMs) {
    accepting = false;
    control.execute(heartbeats::announceLeaving);
    long announceMs = settings.getRequests().getStopAnnounceMs();
    return new GracefulShutdown(callerServer, callerHandler, requestPath, clock, this::schedule)
        .start(announceMs, graceMs)
        .thenRunAsync(this::close);
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    control.close();
    callerServer.close();
    operatorServer.close();
    peerServer.close();
    peers.close();
    controlClient.close();
    upstreamClient.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
