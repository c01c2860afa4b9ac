package org.foxtailford.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.configuration.ConfigurationRecords;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.daemon.idempotency.RequestRecords;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationRecord;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.schema.PlatformSettings;
import org.foxtailford.schema.RequestKind;
import org.foxtailford.schema.RequestSettings;
import org.foxtailford.schema.ServiceDefinition;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.PlatformStandIn;
import org.foxtailford.testkit.upstream.UpstreamProfile;
import org.foxtailford.testkit.upstream.UpstreamStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests complete entry VMs over real sockets with a simulated upstream that counts its runs. */
public class RequestRetryTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final Endpoint LOOPBACK = Endpoint.newBuilder().setHost("127.0.0.1").build();
  private static final HttpLimits LIMITS = new HttpLimits(16 << 10, 1 << 20);

  private final PlatformStandIn platform = new PlatformStandIn();
  private final List<HttpServer> servers = new ArrayList<>();
  private final List<EntryVm> vms = new ArrayList<>();
  private EventLoopGroup loops;
  private ScheduledExecutorService timer;
  private UpstreamStandIn upstream;
  private PooledHttpClient caller;
  private Endpoint platformAddress;

  @BeforeMethod
  public void start() {
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    timer = Executors.newSingleThreadScheduledExecutor();
    caller = new PooledHttpClient(loops, 4, 1 << 20);
    UpstreamProfile profile = new UpstreamProfile("u1", false, 4, 4, 0, 1);
    upstream = new UpstreamStandIn(profile, 1, new SystemMillisClock(), timer);
    HttpServer upstreamServer = new HttpServer(loops, LIMITS, upstream);
    HttpServer platformServer = new HttpServer(loops, LIMITS, platform);
    servers.add(upstreamServer);
    servers.add(platformServer);
    putVm("u1", "dc0", VmRole.VM_ROLE_UPSTREAM, upstreamServer.bind(LOOPBACK));
    platformAddress = LOOPBACK.toBuilder().setPort(platformServer.bind(LOOPBACK)).build();
    platform
        .table()
        .write(ConfigurationRecords.ROW, TableService.ABSENT, record().toByteString())
        .join();
    for (int i = 0; i < 3; i++) {
      vms.add(startVm(i));
    }
  }

  @AfterMethod
  public void stop() {
    vms.forEach(EntryVm::close);
    servers.forEach(HttpServer::close);
    caller.close();
    timer.shutdownNow();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void pledgeRetriedThroughEveryEntryVmRunsOnce() {
    awaitSettledRecords(3);
    HttpAnswer first = sendUntilAnswered(0);
    assertThat(first.headers().contains(FoxtailHeaders.REPLAYED)).isFalse();
    for (int i = 1; i < 3; i++) {
      HttpAnswer retried = sendUntilAnswered(i);
      assertThat(retried.headers().get(FoxtailHeaders.REPLAYED)).isEqualTo("true");
      assertThat(retried.bodyText()).isEqualTo(first.bodyText());
    }
    vms.get(2).close();
    vms.set(2, startVm(2));
    assertThat(sendUntilAnswered(2).bodyText()).isEqualTo(first.bodyText());
    assertThat(upstream.runs()).isEqualTo(1);
  }

  /**
   * Waits until the roster has this size and each entry VM holds every record under it. Before
   * that, fewer than three VMs hold a record, and the loss of one VM may lose it.
   */
  private void awaitSettledRecords(int members) {
    while (members != rosterSize() || !vms.stream().allMatch(this::isSettled)) {
      Thread.onSpinWait();
    }
  }

  private boolean isSettled(EntryVm vm) {
    Endpoint operators = LOOPBACK.toBuilder().setPort(vm.operatorPort()).build();
    HttpExchange scrape =
        new HttpExchange(HttpMethod.GET, "/metrics", new DefaultHttpHeaders(), new byte[0]);
    List<String> metrics =
        trySend(operators, scrape).map(a -> a.bodyText().lines().toList()).orElse(List.of());
    return metrics.contains("foxtailford_records_settled 1.0")
        && metrics.contains("foxtailford_records_roster_version " + (double) rosterVersion());
  }

  private long rosterVersion() {
    return platform
        .table()
        .find(RequestRecords.ROSTER_ROW)
        .map(row -> RequestRecords.parse(row).getVersion())
        .orElse(0L);
  }

  private int rosterSize() {
    return platform
        .table()
        .find(RequestRecords.ROSTER_ROW)
        .map(row -> RequestRecords.parse(row).getMembersCount())
        .orElse(0);
  }

  private HttpAnswer sendUntilAnswered(int vm) {
    while (true) {
      HttpHeaders headers = new DefaultHttpHeaders().set(FoxtailHeaders.REQUEST_ID, "id");
      HttpExchange pledge =
          new HttpExchange(HttpMethod.POST, "/pledges/pledge", headers, new byte[] {'{', '}'});
      Endpoint address = LOOPBACK.toBuilder().setPort(vms.get(vm).callerPort()).build();
      Optional<HttpAnswer> answer = trySend(address, pledge).filter(RequestRetryTests::isOk);
      if (answer.isPresent()) {
        return answer.get();
      }
    }
  }

  private static boolean isOk(HttpAnswer answer) {
    return answer.headers().getInt(FoxtailHeaders.CODE) == ResultCode.OK.number();
  }

  /**
   * Sends a request and returns empty if the connection is lost, for example after a process pause.
   */
  private Optional<HttpAnswer> trySend(Endpoint address, HttpExchange exchange) {
    return caller
        .send(address, exchange, TIMEOUT_MS)
        .handle((answer, failure) -> Optional.ofNullable(answer))
        .join();
  }

  private EntryVm startVm(int number) {
    String name = "e" + number;
    DaemonSettings settings =
        DaemonSettings.newBuilder()
            .setSystemId("system")
            .setVm(name)
            .setDataCentre("dc" + number)
            .setCallerListener(LOOPBACK)
            .setPeerListener(LOOPBACK)
            .setOperatorListener(LOOPBACK)
            .setPlatform(
                PlatformSettings.newBuilder()
                    .setAddress(platformAddress)
                    .setTimeoutMs(1000)
                    .setPollIntervalMs(100))
            .setOwnership(
                SettingsDefaults.applyAll(OwnershipSettings.newBuilder())
                    .setRenewIntervalMs(100)
                    .setGrantTtlMs(400)
                    .setLeaseTtlMs(1000))
            .setRequests(
                SettingsDefaults.applyAll(RequestSettings.newBuilder())
                    .setMaxHeaderBytes(16 << 10)
                    .setMaxBodyBytes(1 << 20)
                    .setMaxAnswerBytes(1 << 20)
                    .setDefaultTimeoutMs(TIMEOUT_MS / 2)
                    .setMaxInFlight(100))
            .build();
    EntryVm vm = new EntryVm(settings, 2);
    vm.start();
    putVm(name, "dc" + number, VmRole.VM_ROLE_ENTRY, vm.peerPort());
    return vm;
  }

  private void putVm(String name, String dataCentre, VmRole role, int port) {
    platform.putVm(
        VmEntry.newBuilder()
            .setName(name)
            .setDataCentre(dataCentre)
            .setRole(role)
            .setState(VmState.VM_STATE_LIVE)
            .setAddress(LOOPBACK.toBuilder().setPort(port))
            .build());
  }

  private static ConfigurationRecord record() {
    return ConfigurationRecord.newBuilder()
        .setSchema(ConfigurationRecords.SCHEMA_VERSION)
        .setWriteId(1)
        .setDocument(configuration())
        .build();
  }

  private static ConfigurationDocument configuration() {
    return ConfigurationDocument.newBuilder()
        .addServices(
            ServiceDefinition.newBuilder()
                .setName("pledges")
                .setSelector("vm=u1")
                .setSlotsPerUpstream(4)
                .setConnectionsPerUpstream(10)
                .addKinds(RequestKind.newBuilder().setName("pledge").setWorth(50)))
        .build();
  }
}
