package org.foxtailford.cli;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import org.foxtailford.core.configuration.ActiveConfiguration;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.ownership.HomeDirectory;
import org.foxtailford.core.ownership.HomesSnapshot;
import org.foxtailford.core.ownership.OwnershipMap;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.routing.ServiceLoads;
import org.foxtailford.core.routing.TwoChoicesChooser;
import org.foxtailford.core.slice.SliceRange;
import org.foxtailford.daemon.control.RoutingState;
import org.foxtailford.daemon.operator.OperatorContext;
import org.foxtailford.daemon.operator.OperatorHandler;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.HomeRanges;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.ServiceAssignment;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmList;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.InMemoryTable;

/** An operators' interface in this process, over a table in memory, and a client that uses it. */
final class OperatorFixture implements AutoCloseable {

  static final String DOCUMENT =
      """
      // version 0
      {
        "services": [
          {"name": "menu-planning", "keyed": true, "selector": "service=menu-planning",
           "upstreamsCheckFences": true,
           "kinds": [{"name": "lookup", "idempotent": true, "worth": 40}]},
          {"name": "pantry", "selector": "service=pantry",
           "kinds": [{"name": "check", "idempotent": true, "worth": 0}]}
        ],
        "vms": [
          {"name": "menu-a1", "labels": {"service": "menu-planning"}},
          {"name": "menu-a2", "labels": {"service": "menu-planning"}},
          {"name": "menu-b1", "labels": {"service": "menu-planning"}},
          {"name": "pantry-a1", "labels": {"service": "pantry"}},
          {"name": "pantry-b1", "labels": {"service": "pantry"}}
        ]
      }
      """;

  private static final long GRANTED_AT_MS = 1_700_000_000_000L;

  private final EventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final RoutingState state = new RoutingState("dc-a");
  private final ActiveConfiguration inForce = new ActiveConfiguration(state::acceptConfiguration);
  private final ConfigurationStore store = new ConfigurationStore(new InMemoryTable());
  private final AtomicLong writeIds = new AtomicLong();
  private final AtomicLong epochMs = new AtomicLong(1_700_000_000_000L);
  private final Map<String, Long> peerVersions = new TreeMap<>();
  private final HttpServer server;
  private final String endpoint;
  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  OperatorFixture() {
    this(handler -> handler);
  }

  /** Starts the interface with something put before it. */
  OperatorFixture(UnaryOperator<HttpExchangeHandler> around) {
    inForce.updateVms(vms());
    state.acceptHomes(HomesSnapshot.none());
    OperatorContext context =
        new OperatorContext(
            "entry-a1",
            state::snapshot,
            inForce,
            store,
            new RequestRouter(new TwoChoicesChooser(new Random(1)), new ServiceLoads(() -> 1)),
            () -> true,
            () -> true,
            () -> peerVersions,
            writeIds::incrementAndGet,
            false,
            () -> inForce.offer(store.read().join()));
    OperatorHandler handler =
        new OperatorHandler(context, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    server = new HttpServer(loops, new HttpLimits(65536, 4 << 20), around.apply(handler));
    int port = server.bind(Endpoint.newBuilder().setHost("127.0.0.1").build());
    endpoint = "127.0.0.1:" + port;
  }

  String endpoint() {
    return endpoint;
  }

  ConfigurationStore store() {
    return store;
  }

  Map<String, Long> peerVersions() {
    return peerVersions;
  }

  /** Sets the homes of a service. */
  void acceptHomes(HomeRanges homes) {
    state.acceptHomes(new HomesSnapshot(HomeDirectory.of(List.of(homes)), 0));
  }

  /** Makes every key of the service belong to an upstream. */
  void grant(String service, String upstream) {
    acceptHomes(HomeDirectory.initial(service, 1, List.of("dc-a")));
    SliceAssignment slice =
        new SliceAssignment(SliceRange.ALL, upstream, new Fence(3, 1), GRANTED_AT_MS);
    state.acceptOwners(
        OwnershipMap.of(
            OwnershipCheckpoint.newBuilder()
                .setDataCentre("dc-a")
                .setEpoch(3)
                .setSequence(1)
                .addServices(
                    ServiceAssignment.newBuilder().setService(service).addSlices(slice.toValue()))
                .build()));
  }

  /** Runs a command against this interface. */
  ExitStatus run(String... args) {
    return runAt(endpoint, args);
  }

  /** Runs a command against some endpoints. */
  ExitStatus runAt(String endpoints, String... args) {
    out.reset();
    err.reset();
    return new FoxtailctlCommand(io(endpoints)).run(args);
  }

  CommandIo io(String endpoints) {
    return new CommandIo(
        new PrintStream(out, true, StandardCharsets.UTF_8),
        new PrintStream(err, true, StandardCharsets.UTF_8),
        Map.of(AbstractCommand.OPERATORS_VARIABLE, endpoints, "USER", "asha"),
        writeIds::incrementAndGet,
        epochMs::get,
        () -> epochMs.addAndGet(1000));
  }

  String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  String err() {
    return err.toString(StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private static VmList vms() {
    return VmList.newBuilder()
        .addVms(vm("entry-a1", "dc-a", VmRole.VM_ROLE_ENTRY))
        .addVms(vm("entry-b1", "dc-b", VmRole.VM_ROLE_ENTRY))
        .addVms(vm("menu-a1", "dc-a", VmRole.VM_ROLE_UPSTREAM))
        .addVms(vm("menu-a2", "dc-a", VmRole.VM_ROLE_UPSTREAM))
        .addVms(vm("menu-b1", "dc-b", VmRole.VM_ROLE_UPSTREAM))
        .addVms(vm("pantry-a1", "dc-a", VmRole.VM_ROLE_UPSTREAM))
        .addVms(vm("pantry-b1", "dc-b", VmRole.VM_ROLE_UPSTREAM))
        .build();
  }

  private static VmEntry vm(String name, String dataCentre, VmRole role) {
    return VmEntry.newBuilder()
        .setName(name)
        .setDataCentre(dataCentre)
        .setRole(role)
        .setState(VmState.VM_STATE_LIVE)
        .build();
  }

  /** Lets the first change take effect and never answers it. */
  static final class FirstAnswerLost implements HttpExchangeHandler {

    private final HttpExchangeHandler handler;
    private boolean lost;

    FirstAnswerLost(HttpExchangeHandler handler) {
      this.handler = handler;
    }

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      CompletableFuture<HttpAnswer> answer = handler.handle(exchange);
      if (!lost && exchange.method().equals(HttpMethod.PUT)) {
        lost = true;
        return new CompletableFuture<>();
      }
      return answer;
    }

    @Override
    public HttpAnswer refuse(ResultCode code, String message) {
      return handler.refuse(code, message);
    }
  }
}
