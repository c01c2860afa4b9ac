package org.foxtailford.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.foxtailford.core.store.PlatformRows;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.entry.log.KeptLog;
import org.foxtailford.entry.settings.EntrySettings;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.net.tcp.ClosingEventLoopGroup;
import org.foxtailford.platform.JsonPlatformRows;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.testkit.published.RowStoreStandIn;
import org.foxtailford.testkit.published.UpstreamProcessStandIn;

/**
 * Test cluster on loopback: a simulated store, simulated upstreams and real entry VMs, whose log is
 * kept in {@code target/entry-vms.log}.
 */
final class EntryTestCluster implements AutoCloseable {

  static final String CONFIGURATION =
      """
      {"version":"r%d","routes":{"columns":["name","host","prefix","kind","timeout",
      "target_latency","priority","traffic_split","max_attempts","service"],"rows":[
      ["keyed","127.0.0.1","/keyed/","safe","1500ms","500ms",2,null,2,"keyed"],
      ["once","127.0.0.1","/once/","unsafe","1500ms","600ms",1,null,2,"plain"],
      ["safe","127.0.0.1","/safe/","safe","1500ms","600ms",1,null,2,"plain"]]},
      "services":{"columns":["name","health_check_path","max_connections","protocol","tls","warmup",
      "warmup_per_s","sharded","warm","grants"],"rows":[
      ["keyed","/health",110,"h1",false,"3s",8.0,true,"2s","direct_call"],
      ["plain","/health",110,"h1",false,"3s",8.0,null,null,null]]},
      "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"1000ms",
      "idle_timeout":"15000ms"}}""";

  /** Data centre of all upstreams, and of the VMs for which none is named. */
  static final String DATA_CENTRE = "dc";

  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 32_000;
  private static final int MAX_PORT_TRIES = 100;

  /** Ports given out before: one VM would get the same port for two listeners now and then. */
  private static final Set<Integer> GIVEN_PORTS = ConcurrentHashMap.newKeySet();

  private static final long CALL_TIMEOUT_MS = 4000;
  private static final long AWAIT_TIMEOUT_MS = 15_000;

  /** Time from the end of an upstream's process to the start of the next one. */
  static final long RESTART_MS = 1000;

  static {
    KeptLog.start();
  }

  private final EventLoopGroup loops = new ClosingEventLoopGroup(2);
  private final PooledHttpClient client = new PooledHttpClient(loops, 64, 4 << 20);
  private final RowStoreStandIn store = new RowStoreStandIn(loops).start();
  private final Map<String, UpstreamProcessStandIn> upstreams = new HashMap<>();
  private final List<EntryVm> vms = new ArrayList<>();
  private final List<EntrySettings> settings = new ArrayList<>();

  RowStoreStandIn store() {
    return store;
  }

  UpstreamProcessStandIn upstream(String id) {
    return upstreams.get(id);
  }

  UpstreamProcessStandIn addUpstream(String id, String service) {
    UpstreamProcessStandIn upstream =
        new UpstreamProcessStandIn(loops, id, service.equals("keyed")).start();
    upstreams.put(id, upstream);
    store.put("servers", id, upstream.registration(service, "dc", "ready"));
    return upstream;
  }

  /** Registers an upstream that listens on a port of the loopback address. */
  void register(String id, String service, int port) {
    String entry =
        """
        {"service":"%s","address":"127.0.0.1:%d","zone":"dc","version":"v1","slots":4,
        "state":"ready","warmup_left":"0ms","sequence":1,"born":1700000000000}""";
    store.put("servers", id, String.format(entry, service, port));
  }

  /** Makes an upstream end under each request whose path begins with a text, and start again. */
  void endUnder(String id, String service, String path) {
    UpstreamProcessStandIn upstream = upstreams.get(id);
    upstream.endUnder(
        path,
        RESTART_MS,
        () -> store.put("servers", id, upstream.registration(service, "dc", "ready")));
  }

  void configure(int version) {
    store.put("op", "config", String.format(CONFIGURATION, version));
  }

  /** Stores a configuration whose routes all have the same timeout. */
  void configureTimeouts(int version, long timeoutMs) {
    String text = String.format(CONFIGURATION, version);
    store.put("op", "config", text.replace("1500ms", timeoutMs + "ms"));
  }

  /**
   * Stores a configuration with a public route {@code /open/} and tenants.
   *
   * @param rows rows of the tenants, with name, keys, priority, rate and burst
   * @param maxHeadBytes limit on the head of a request
   */
  void configureTenants(int version, String rows, int maxHeadBytes) {
    String columns = "'name','api_keys','priority','rate_per_s','burst'";
    String tenants = ",'tenants':{'columns':[" + columns + "],'rows':[" + rows + "]}}";
    String open = "['open','127.0.0.1','/open/','safe','1500ms','600ms',1,null,2,'plain',true],";
    String text =
        String.format(CONFIGURATION, version)
            .replace('"', '\'')
            .replace("'max_attempts','service'", "'max_attempts','service','public'")
            .replace("['keyed','127.0.0.1'", open + "['keyed','127.0.0.1'")
            .replace("16384", Integer.toString(maxHeadBytes));
    String whole = text.substring(0, text.lastIndexOf('}')) + tenants;
    store.put("op", "config", whole.replace('\'', '"'));
  }

  EntryVm addVm(String node, List<UpstreamAddress> seeds, UpstreamAddress storeAddress)
      throws IOException {
    return addVm(node, seeds, storeAddress, new JsonPlatformRows());
  }

  EntryVm addVm(
      String node, List<UpstreamAddress> seeds, UpstreamAddress storeAddress, PlatformRows rows)
      throws IOException {
    return addVm(node, seeds, storeAddress, rows, EntrySettings.TenantBounds.DEFAULT);
  }

  /** Adds a VM of a data centre. */
  EntryVm addVm(
      String node,
      String dataCentre,
      List<UpstreamAddress> seeds,
      UpstreamAddress storeAddress,
      PlatformRows rows)
      throws IOException {
    return addVm(
        node, dataCentre, seeds, storeAddress, rows, EntrySettings.TenantBounds.DEFAULT, false);
  }

  EntryVm addVm(
      String node,
      List<UpstreamAddress> seeds,
      UpstreamAddress storeAddress,
      PlatformRows rows,
      EntrySettings.TenantBounds tenantBounds)
      throws IOException {
    return addVm(node, DATA_CENTRE, seeds, storeAddress, rows, tenantBounds, false);
  }

  /** Adds a VM that chooses upstreams by the expected cost of requests. */
  EntryVm addCostAwareVm(String node) throws IOException {
    return addVm(
        node,
        DATA_CENTRE,
        List.of(),
        storeAddress(),
        new JsonPlatformRows(),
        EntrySettings.TenantBounds.DEFAULT,
        true);
  }

  private EntryVm addVm(
      String node,
      String dataCentre,
      List<UpstreamAddress> seeds,
      UpstreamAddress storeAddress,
      PlatformRows rows,
      EntrySettings.TenantBounds tenantBounds,
      boolean costAware)
      throws IOException {
    EntrySettings vmSettings =
        new EntrySettings(
            node,
            dataCentre,
            freeAddress(),
            freeAddress(),
            freeAddress(),
            seeds,
            storeAddress,
            0,
            1,
            100,
            true,
            new EntrySettings.Bounds(0.2, 50, 10_000, 1, 1, 10_000, 2000, 3000),
            tenantBounds,
            costAware);
    EntryVm vm = new EntryVm(vmSettings, rows);
    vm.start();
    vms.add(vm);
    settings.add(vmSettings);
    return vm;
  }

  UpstreamAddress storeAddress() {
    return new UpstreamAddress("127.0.0.1", store.port());
  }

  EntrySettings settings(int vm) {
    return settings.get(vm);
  }

  /**
   * Returns an address to listen on. Its port is outside the range from which the system takes the
   * local ports of connections: those of other test runs took such a port before it was bound.
   */
  static UpstreamAddress freeAddress() throws IOException {
    InetAddress loopback = InetAddress.getByAddress(new byte[] {127, 0, 0, 1});
    for (int i = 0; i < MAX_PORT_TRIES; i++) {
      int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
      if (!GIVEN_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket socket = new ServerSocket(port, 1, loopback)) {
        return new UpstreamAddress("127.0.0.1", socket.getLocalPort());
      } catch (BindException e) {
        continue; // in use
      }
    }
    throw new IOException("no free port between " + FIRST_PORT + " and " + LAST_PORT);
  }

  /** Moves the requests below {@code /safe/} to the service whose upstreams hold keys. */
  void configureSafeRequestsToKeyedService(int version) {
    String moved =
        CONFIGURATION.replace(
            "\"safe\",\"1500ms\",\"600ms\",1,null,2,\"plain\"",
            "\"safe\",\"1500ms\",\"600ms\",1,null,2,\"keyed\"");
    store.put("op", "config", String.format(moved, version));
  }

  /** Moves the requests below {@code /once/} to the service whose upstreams hold keys. */
  void configureOnceRequestsToKeyedService(int version) {
    String moved =
        CONFIGURATION.replace(
            "\"unsafe\",\"1500ms\",\"600ms\",1,null,2,\"plain\"",
            "\"unsafe\",\"1500ms\",\"600ms\",1,null,2,\"keyed\"");
    store.put("op", "config", String.format(moved, version));
  }

  CompletableFuture<HttpAnswer> send(
      int vm, HttpMethod method, String path, String requestId, String body) {
    int key = Math.floorMod(requestId.hashCode(), 65536);
    return send(vm, method, path, requestId, body, key);
  }

  CompletableFuture<HttpAnswer> send(
      int vm, HttpMethod method, String path, String requestId, String body, int key) {
    return send(vm, method, path, requestId, body, key, new DefaultHttpHeaders());
  }

  CompletableFuture<HttpAnswer> send(
      int vm,
      HttpMethod method,
      String path,
      String requestId,
      String body,
      int key,
      HttpHeaders furtherHeaders) {
    HttpHeaders headers =
        new DefaultHttpHeaders()
            .set("Request-Id", requestId)
            .set("Deadline-Ms", 2000)
            .set("Shard-Key", key)
            .add(furtherHeaders);
    HttpExchange exchange =
        new HttpExchange(method, path, headers, body.getBytes(StandardCharsets.UTF_8));
    return client.send(endpoint(settings.get(vm).callers()), exchange, CALL_TIMEOUT_MS);
  }

  HttpAnswer get(int vm, String path, String requestId) {
    return send(vm, HttpMethod.GET, path, requestId, "").join();
  }

  /** Sends bytes to a VM as if they were the report of another one. */
  CompletableFuture<HttpAnswer> report(int vm, byte[] message) {
    HttpExchange exchange =
        new HttpExchange(HttpMethod.POST, "/foxtailford/peer", new DefaultHttpHeaders(), message);
    return client.send(endpoint(settings.get(vm).peers()), exchange, CALL_TIMEOUT_MS);
  }

  int readiness(int vm) {
    HttpExchange exchange =
        new HttpExchange(HttpMethod.GET, "/readiness", new DefaultHttpHeaders(), new byte[0]);
    return client
        .send(endpoint(settings.get(vm).readiness()), exchange, CALL_TIMEOUT_MS)
        .join()
        .status();
  }

  String metrics(int vm) {
    HttpExchange exchange =
        new HttpExchange(HttpMethod.GET, "/metrics", new DefaultHttpHeaders(), new byte[0]);
    return client
        .send(endpoint(settings.get(vm).readiness()), exchange, CALL_TIMEOUT_MS)
        .join()
        .bodyText();
  }

  private static Endpoint endpoint(UpstreamAddress address) {
    return Endpoint.newBuilder().setHost(address.host()).setPort(address.port()).build();
  }

  /** Waits until a condition holds; fails after a timeout. */
  static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long untilMs = System.currentTimeMillis() + AWAIT_TIMEOUT_MS;
    while (!condition.getAsBoolean()) {
      if (System.currentTimeMillis() > untilMs) {
        throw new AssertionError("timed out waiting for: " + what);
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
  }

  @Override
  public void close() {
    vms.forEach(EntryVm::close);
    upstreams.values().forEach(UpstreamProcessStandIn::close);
    store.close();
    client.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
