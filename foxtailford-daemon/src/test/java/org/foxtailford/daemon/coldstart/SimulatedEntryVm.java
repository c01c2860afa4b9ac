package org.foxtailford.daemon.coldstart;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.admission.ByteBudget;
import org.foxtailford.core.admission.PriorityThreshold;
import org.foxtailford.core.coldstart.ColdStartAdmission;
import org.foxtailford.core.coldstart.GateTiming;
import org.foxtailford.core.coldstart.UnguardedAdmission;
import org.foxtailford.core.membership.Member;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.retry.RetryAfter;
import org.foxtailford.core.retry.RetryBudget;
import org.foxtailford.core.retry.RetryPolicy;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.daemon.peer.PeerMessenger;
import org.foxtailford.daemon.request.GuardedSender;
import org.foxtailford.daemon.request.QueueLimits;
import org.foxtailford.daemon.request.RelayPort;
import org.foxtailford.daemon.request.RelayRoutes;
import org.foxtailford.daemon.request.RelaySender;
import org.foxtailford.daemon.request.RequestClassifier;
import org.foxtailford.daemon.request.RequestExecutor;
import org.foxtailford.daemon.request.RequestPath;
import org.foxtailford.daemon.request.UpstreamSender;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/** Simulated entry VM with the daemon's request path and cold start protection. */
final class SimulatedEntryVm implements PeerMessenger, GateMembership, RelayRoutes {

  private static final int REQUEST_TIMEOUT_MS = 1000;
  private static final int MAX_DELAY_MS = 10;
  private static final int INVERSE_LOSS_RATE = 10;

  private final SlowStartSimulation simulation;
  private final PeerIdentity self;
  private final MillisClock clock;
  private final Random random;
  private final RequestClassifier classifier = new RequestClassifier(REQUEST_TIMEOUT_MS);
  private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
  private final ColdStarts coldStarts;
  private final RequestPath path;
  private final Map<ResultCode, Integer> results = new EnumMap<>(ResultCode.class);
  private Optional<HeldLease> lease = Optional.empty();
  private Optional<String> leader = Optional.empty();
  private List<String> currentLiveVms = new ArrayList<>();

  SimulatedEntryVm(
      SlowStartSimulation simulation,
      String name,
      long bootId,
      boolean guarded,
      long clockOffsetMs) {
    this.simulation = simulation;
    this.self = new PeerIdentity("system", name, "a", bootId);
    this.clock = simulation.time().clock(clockOffsetMs);
    this.random = simulation.random();
    SimulatedConnections connections =
        new SimulatedConnections(
            name, simulation.upstreams(), this::onBootId, simulation.time(), simulation.random());
    this.coldStarts =
        new ColdStarts(
            self,
            this,
            this,
            this::broadcast,
            () -> simulation.snapshot().configuration(),
            GateTiming.of(0),
            connections::readBootId,
            upstream -> {},
            clock,
            Runnable::run);
    this.path = newPath(connections, guarded ? coldStarts.admission() : new UnguardedAdmission());
  }

  private void onBootId(Endpoint endpoint, long bootId) {
    coldStarts.admission().onBootId(endpoint, bootId);
  }

  private RequestPath newPath(SimulatedConnections connections, ColdStartAdmission admission) {
    RouterMetrics metrics = new RouterMetrics(registry);
    ServiceLoads loads = new ServiceLoads(() -> simulation.vms().size());
    RetryBudget budget = new RetryBudget(0.1, 1, 20, 0);
    RequestExecutor attempts =
        new RequestExecutor(
            new RequestRouter(new TwoChoicesChooser(random), loads),
            simulation::snapshot,
            loads,
            new GuardedSender(
                (request, attributes, idempotent, upstream, attempt) -> attempt.get(),
                new UpstreamSender(connections)),
            new RelaySender(this, metrics, clock),
            new RetryPolicy(3, 2, budget),
            budget,
            metrics,
            clock,
            simulation.time(),
            admission,
            new QueueLimits(64, 100));
    return new RequestPath(
        attempts,
        simulation::snapshot,
        new PriorityThreshold(1000),
        new ByteBudget(1 << 20),
        new RetryAfter(random),
        metrics,
        clock);
  }

  String name() {
    return self.vm();
  }

  MillisClock clock() {
    return clock;
  }

  void tick() {
    coldStarts.tick();
  }

  /** Sends a caller's request through this VM. */
  CompletableFuture<HttpAnswer> request(String uri) {
    var headers = new DefaultHttpHeaders().set(FoxtailHeaders.KEY, "key");
    HttpExchange exchange = new HttpExchange(HttpMethod.GET, uri, headers, new byte[0]);
    return path.serve(exchange, classifier.classify(exchange, clock.nowMs()))
        .whenComplete((answer, failure) -> countResult(answer));
  }

  private void countResult(HttpAnswer answer) {
    int number = answer.headers().getInt(FoxtailHeaders.CODE);
    results.merge(ResultCode.findByNumber(number).orElseThrow(), 1, Integer::sum);
  }

  Map<ResultCode, Integer> results() {
    return results;
  }

  double relayCount() {
    return registry.counter("foxtailford.cold.relays", "service", "menu").count();
  }

  void setLease(Optional<HeldLease> value) {
    lease = value;
  }

  void setLeader(String value) {
    leader = Optional.of(value);
  }

  void setLive(List<String> names) {
    currentLiveVms = names;
  }

  @Override
  public Optional<HeldLease> leadership() {
    return lease.filter(held -> clock.nowMs() < held.validUntilMs());
  }

  @Override
  public Optional<String> leader() {
    return leader;
  }

  @Override
  public List<String> liveVms() {
    return currentLiveVms;
  }

  @Override
  public void update(List<Member> members, Collection<String> neighbours) {}

  @Override
  public List<String> openIn(String dataCentre) {
    return simulation.vms().stream().map(SimulatedEntryVm::name).toList();
  }

  @Override
  public void send(String vm, PeerFrame frame) {
    if (random.nextInt(INVERSE_LOSS_RATE) > 0) {
      SimulatedEntryVm receiver = simulation.vm(vm);
      runAfterDelay(() -> receiver.coldStarts.gates().onFrame(self, frame));
    }
  }

  private void broadcast(PeerFrame frame) {
    simulation.vms().forEach(vm -> send(vm.name(), frame));
  }

  private void runAfterDelay(Runnable action) {
    simulation.time().after(1 + random.nextInt(MAX_DELAY_MS), action);
  }

  @Override
  public Optional<RelayPort> toDataCentre(String dataCentre) {
    return Optional.empty();
  }

  @Override
  public Optional<RelayPort> toGateHolder(String upstream) {
    return coldStarts
        .gates()
        .findHolder(upstream)
        .filter(vm -> !vm.equals(name()))
        .map(vm -> (request, timeoutMs) -> relay(simulation.vm(vm), request));
  }

  private CompletableFuture<RelayAnswer> relay(SimulatedEntryVm holder, RelayRequest request) {
    CompletableFuture<RelayAnswer> answer = new CompletableFuture<>();
    runAfterDelay(
        () ->
            holder
                .path
                .serveRelayed(request, classifier)
                .thenAccept(relayed -> runAfterDelay(() -> answer.complete(relayed))));
    return answer;
  }
}
