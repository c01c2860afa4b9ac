package org.foxtailford.entry.control;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.poison.LossLog;
import org.foxtailford.core.poison.PoisonLimits;
import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.poison.PoisonVerdict;
import org.foxtailford.core.quota.QuotaTerms;
import org.foxtailford.core.range.CommandOutcome;
import org.foxtailford.core.range.KeyRange;
import org.foxtailford.core.range.RangeCommandClient;
import org.foxtailford.core.range.RangeTiming;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.store.Row;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.upstream.UpstreamEntry;
import org.foxtailford.entry.metrics.MicrometerRequestMetrics;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.entry.ExchangeRequest;
import org.foxtailford.schema.entry.PeerReport;
import org.foxtailford.testkit.simulation.EventQueue;

/** Entry VMs' controls on virtual time, with a simulated store and network. */
final class ControlWorld {

  private static final String OPERATORS = "operators";
  private static final String UPSTREAMS = "upstreams";
  private static final long ONE_WAY_MS = 1;
  private static final int PORT = 1000;

  private final EventQueue events = new EventQueue();
  private final SimulatedStore store = new SimulatedStore(events);
  private final List<Vm> vms = new ArrayList<>();
  private final Random random;

  ControlWorld(int count, long seed) {
    random = new Random(seed);
    put(1);
    for (int i = 0; i < count; i++) {
      vms.add(new Vm(i, 1));
    }
    runFor(6000);
  }

  long nowMs() {
    return events.nowMs();
  }

  SimulatedStore store() {
    return store;
  }

  List<Vm> vms() {
    return vms;
  }

  void runFor(long ms) {
    events.runUntil(events.nowMs() + ms);
  }

  /** Runs an action after a delay. */
  void later(long delayMs, Runnable action) {
    events.schedule(delayMs, action);
  }

  /** Writes a version of the configuration; returns when it was acknowledged. */
  long put(long version) {
    return store.put(OPERATORS, "config", Long.toString(version).getBytes(StandardCharsets.UTF_8));
  }

  /** Registers an incarnation of an upstream. */
  void register(String id, long bornMs) {
    store.put(UPSTREAMS, id, Long.toString(bornMs).getBytes(StandardCharsets.UTF_8));
  }

  /** Removes the registration of an upstream. */
  void unregister(String id) {
    store.remove(UPSTREAMS, id);
  }

  /** Returns the leader as the VMs themselves see it; fails unless exactly one leads. */
  Vm leader() {
    List<Vm> leaders = vms.stream().filter(vm -> vm.isLeading()).toList();
    if (leaders.size() != 1) {
      throw new AssertionError(leaders.size() + " VMs lead");
    }
    return leaders.get(0);
  }

  /** Ends all VMs and starts others of the same names, which remember nothing. */
  void restartAll() {
    vms.forEach(Vm::end);
    vms.replaceAll(ended -> new Vm(ended.number, ended.incarnation + 1));
  }

  boolean hasLeader() {
    return vms.stream().filter(Vm::isLeading).count() == 1;
  }

  /** An entry VM without its request path. */
  final class Vm {

    private final int number;
    private final long incarnation;
    private final VirtualLoop loop = new VirtualLoop(events);
    private final SimulatedStore.Link link = store.new Link();
    private final EntryRoutingState state;
    private final EntryControl control;
    private final QuotaComponents quotas;
    private final PoisonTracker tracker;
    private boolean cutOff;
    private boolean cutOffFromUpstreams;

    Vm(int number, long incarnation) {
      this.number = number;
      this.incarnation = incarnation;
      String node = "vm-" + number;
      ControlClocks clocks = ControlClocks.of(loop.steadyClock(), events::nowMs);
      state = new EntryRoutingState(new NumberRows(), clocks, node);
      tracker = new PoisonTracker(PoisonLimits.BY_INCARNATION, loop.steadyClock());
      EntryIdentity self =
          new EntryIdentity(node, incarnation, "dc", address(number), 999, 1, 100, true);
      quotas =
          new QuotaComponents(
              self,
              state,
              QuotaTerms.DEFAULT,
              this::send,
              new MicrometerRequestMetrics(new SimpleMeterRegistry()),
              clocks,
              loop,
              this::reportEarly);
      control =
          new EntryControl(
              self,
              List.of(address(0), address(1)),
              link,
              new NumberRows(),
              new UpstreamLinks(new GrantingClient(), () -> cutOffFromUpstreams),
              state,
              new ReportContents(
                  new LossExchange(
                      new LossLog(PoisonLimits.BY_INCARNATION, loop.steadyClock()),
                      tracker,
                      loop.steadyClock()),
                  quotas.shares()),
              this::send,
              new RangeTiming(3000, 800, 300, 700, 3000, 100),
              clocks,
              loop,
              new Random(random.nextLong()));
      loop.execute(control::start);
    }

    private void reportEarly() {
      control.reportEarly();
    }

    String name() {
      return "vm-" + number;
    }

    SimulatedStore.Link link() {
      return link;
    }

    /** Makes reads of the operators' table stay without an answer, or ends it. */
    void setOperatorReadsSilent(boolean silent) {
      link.setSilent(OPERATORS, silent);
    }

    /** Makes the next read of the operators' table stay without an answer. */
    void loseNextOperatorRead() {
      link.loseNextRead(OPERATORS);
    }

    /** Cuts the VM off from its peers, silently, or ends the cut. */
    void setCutOff(boolean newCutOff) {
      cutOff = newCutOff;
    }

    /** Makes the VM believe that it reaches no upstream, or ends it. */
    void setCutOffFromUpstreams(boolean newCutOff) {
      cutOffFromUpstreams = newCutOff;
    }

    boolean isCutOffFromUpstreams() {
      return cutOffFromUpstreams;
    }

    void pause(long durationMs) {
      loop.pause(durationMs);
    }

    void end() {
      loop.end();
    }

    boolean isLeading() {
      return control.isLeading();
    }

    /** Returns the version of the configuration in force; 0 before the first one. */
    long version() {
      return state.configuration().map(RoutingConfiguration::version).orElse(0L);
    }

    /** Returns the age of the copy of the operators' table, in milliseconds; -1 if unknown. */
    long configurationAgeMs() {
      return state.configurationAgeMs();
    }

    /** Loses an upstream while it runs a request. */
    void lose(String upstream, long fingerprint) {
      tracker.recordConnectionLoss(upstream, fingerprint);
      loop.execute(() -> tracker.recordUpstreamLoss(upstream).ifPresent(control::onUpstreamLost));
    }

    PoisonVerdict verdict(long fingerprint) {
      return tracker.verdict(fingerprint);
    }

    private CompletableFuture<HttpAnswer> send(
        Endpoint endpoint, HttpExchange exchange, long timeoutMs) {
      CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
      events.schedule(
          timeoutMs,
          () -> answer.completeExceptionally(new IllegalStateException("no answer in time")));
      Vm target = vms.get(endpoint.getPort() - PORT);
      if (target.loop.isEnded()) {
        events.schedule(
            2 * ONE_WAY_MS,
            () -> answer.completeExceptionally(new ConnectException("Connection refused")));
      } else if (!cutOff && !target.cutOff) {
        events.schedule(
            ONE_WAY_MS, () -> target.loop.execute(() -> target.answer(exchange, answer)));
      }
      return answer;
    }

    private void answer(HttpExchange exchange, CompletableFuture<HttpAnswer> answer) {
      try {
        byte[] reply =
            exchange.path().equals(ExchangeClient.PATH)
                ? quotas.exchange().answer(ExchangeRequest.parseFrom(exchange.body())).toByteArray()
                : control.onReport(PeerReport.parseFrom(exchange.body())).toByteArray();
        HttpAnswer ok = new HttpAnswer(200, new DefaultHttpHeaders(), reply);
        events.schedule(ONE_WAY_MS, () -> answer.complete(ok));
      } catch (IOException e) {
        answer.completeExceptionally(e);
      }
    }
  }

  private static UpstreamAddress address(int number) {
    return new UpstreamAddress("10.0.0." + number, PORT + number);
  }

  /** Rows of operators in which a configuration is just its number. */
  static final class NumberRows implements PlatformRows {

    @Override
    public String operatorTable() {
      return OPERATORS;
    }

    @Override
    public String upstreamTable() {
      return UPSTREAMS;
    }

    @Override
    public boolean isConfiguration(Row row) {
      return row.key().equals("config");
    }

    @Override
    public RoutingConfiguration readConfiguration(Row row) {
      long version = Long.parseLong(new String(row.value(), StandardCharsets.UTF_8));
      return new RoutingConfiguration(
          version, List.of(), List.of(), CallerLimits.DEFAULT, Optional.empty());
    }

    @Override
    public Optional<String> findEvacuatedDataCentre(Row row) {
      return Optional.empty();
    }

    @Override
    public UpstreamEntry readUpstream(Row row) {
      long bornMs = Long.parseLong(new String(row.value(), StandardCharsets.UTF_8));
      UpstreamAddress address = new UpstreamAddress("10.1.0.1", 2000);
      return new UpstreamEntry(row.key(), bornMs, "plain", address, "dc", 4, false, 0);
    }
  }

  /** Upstreams that accept every grant and release. */
  private static final class GrantingClient implements RangeCommandClient {

    @Override
    public CompletableFuture<GrantResult> grant(
        String upstream,
        UpstreamAddress address,
        KeyRange range,
        long fence,
        long grantTtlMs,
        Optional<String> handover,
        OptionalLong session,
        long timeoutMs) {
      return CompletableFuture.completedFuture(
          new GrantResult(CommandOutcome.DONE, OptionalLong.of(1)));
    }

    @Override
    public CompletableFuture<ReleaseResult> release(
        String upstream, UpstreamAddress address, KeyRange range, long fence, long timeoutMs) {
      return CompletableFuture.completedFuture(
          new ReleaseResult(CommandOutcome.DONE, Optional.empty()));
    }
  }
}
