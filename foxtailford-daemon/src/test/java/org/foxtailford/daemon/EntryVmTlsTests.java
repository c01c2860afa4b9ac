package org.foxtailford.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.SecureRandom;
import java.security.cert.CertificateFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.tls.ClientTls;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.schema.PlatformSettings;
import org.foxtailford.schema.RequestSettings;
import org.foxtailford.schema.TlsSettings;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.PlatformStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests complete entry VMs that are configured with TLS certificates. */
public class EntryVmTlsTests {

  private static final Path FILES =
      Path.of("..", "foxtailford-net", "src", "test", "resources", "tls");
  private static final Endpoint LOOPBACK = Endpoint.newBuilder().setHost("127.0.0.1").build();
  private static final long TIMEOUT_MS = 20_000;
  private static final String CONFIGURATION =
      "{\"services\":[{\"name\":\"pantry\",\"selector\":\"vm=u1\","
          + "\"kinds\":[{\"name\":\"check\",\"idempotent\":true}]}]}";

  private final List<EntryVm> vms = new ArrayList<>();
  private EventLoopGroup loops;
  private PlatformStandIn platform;
  private HttpServer platformServer;
  private int platformPort;

  @BeforeMethod
  public void setUp() {
    loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    platform = new PlatformStandIn();
    platformServer = new HttpServer(loops, new HttpLimits(1 << 16, 1 << 20), platform);
    platformPort = platformServer.bind(LOOPBACK);
    registerVm("u1", VmRole.VM_ROLE_UPSTREAM, 1);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    vms.forEach(EntryVm::close);
    vms.clear();
    platformServer.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void registerVm(String name, VmRole role, int port) {
    platform.putVm(
        VmEntry.newBuilder()
            .setName(name)
            .setDataCentre("a")
            .setRole(role)
            .setState(VmState.VM_STATE_LIVE)
            .setAddress(LOOPBACK.toBuilder().setPort(port))
            .build());
  }

  private EntryVm start(String name, TlsSettings.Builder tls) {
    DaemonSettings settings =
        DaemonSettings.newBuilder()
            .setSystemId("test")
            .setVm(name)
            .setDataCentre("a")
            .setCallerListener(LOOPBACK)
            .setPeerListener(LOOPBACK)
            .setOperatorListener(LOOPBACK)
            .setPlatform(
                SettingsDefaults.applyAll(PlatformSettings.newBuilder())
                    .setAddress(LOOPBACK.toBuilder().setPort(platformPort))
                    .setPollIntervalMs(50))
            .setOwnership(SettingsDefaults.applyAll(OwnershipSettings.newBuilder()))
            .setRequests(SettingsDefaults.applyAll(RequestSettings.newBuilder()))
            .setTls(tls)
            .build();
    EntryVm vm = new EntryVm(settings, 1);
    vms.add(vm);
    vm.start();
    registerVm(name, VmRole.VM_ROLE_ENTRY, vm.peerPort());
    return vm;
  }

  private static TlsSettings.Builder tlsSettings(String name, String trust) {
    return SettingsDefaults.applyAll(TlsSettings.newBuilder())
        .setCertificateFile(FILES.resolve(name + ".pem").toString())
        .setKeyFile(FILES.resolve(name + ".key").toString())
        .setTrustFile(FILES.resolve(trust + ".pem").toString());
  }

  private static SSLContext operatorContext() {
    return ClientTls.context(
        FILES.resolve("asha.pem").toString(),
        FILES.resolve("asha.key").toString(),
        FILES.resolve("authority.pem").toString());
  }

  private static SSLContext withoutCertificate() throws Exception {
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    try (var in = Files.newInputStream(FILES.resolve("authority.pem"))) {
      store.setCertificateEntry(
          "authority", CertificateFactory.getInstance("X.509").generateCertificate(in));
    }
    TrustManagerFactory factory = TrustManagerFactory.getInstance("PKIX");
    factory.init(store);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(null, factory.getTrustManagers(), new SecureRandom());
    return context;
  }

  private static HttpRequest.Builder request(int port, String path) {
    return HttpRequest.newBuilder(URI.create("https://127.0.0.1:" + port + path))
        .timeout(Duration.ofMillis(TIMEOUT_MS));
  }

  private static HttpResponse<String> send(SSLContext context, HttpRequest.Builder request)
      throws IOException, InterruptedException {
    HttpClient client =
        HttpClient.newBuilder().sslContext(context).version(HttpClient.Version.HTTP_1_1).build();
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static void applyConfiguration(EntryVm vm) throws Exception {
    HttpRequest.Builder put =
        request(vm.operatorPort(), "/v1/configuration")
            .header("If-Match", "\"0\"")
            .PUT(HttpRequest.BodyPublishers.ofString(CONFIGURATION));
    assertThat(send(operatorContext(), put).statusCode()).isEqualTo(200);
  }

  /** Polls the status until it contains a text or the timeout expires. */
  private static String awaitStatus(EntryVm vm, String text) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    String status = "";
    while (!status.contains(text) && System.nanoTime() < deadlineNanos) {
      status = send(operatorContext(), request(vm.operatorPort(), "/v1/status")).body();
    }
    return status;
  }

  private static String activeVersion(String name) {
    return "{\"vm\":\"" + name + "\",\"configurationVersion\":1}";
  }

  private static String notReported(String name) {
    return "{\"vm\":\"" + name + "\",\"configurationVersion\":-1}";
  }

  @Test
  public void entryVmsWithCertificatesOfTheSameAuthorityConnect() throws Exception {
    EntryVm first = start("entry-a1", tlsSettings("entry-a1", "authority"));
    EntryVm second = start("entry-a2", tlsSettings("entry-a1-renewed", "authority"));
    applyConfiguration(first);
    assertThat(awaitStatus(first, activeVersion("entry-a2"))).contains(activeVersion("entry-a2"));
    assertThat(awaitStatus(second, activeVersion("entry-a1"))).contains(activeVersion("entry-a1"));
  }

  @Test
  public void entryVmWithoutACertificateOfTheAuthorityDoesNotConnect() throws Exception {
    EntryVm first = start("entry-a1", tlsSettings("entry-a1", "authority"));
    EntryVm second = start("entry-a2", tlsSettings("entry-a1-renewed", "authority"));
    start("stranger", tlsSettings("stranger", "stranger-authority"));
    start("plain", SettingsDefaults.applyAll(TlsSettings.newBuilder()));
    applyConfiguration(first);
    awaitStatus(second, activeVersion("entry-a1"));
    assertThat(awaitStatus(first, activeVersion("entry-a2")))
        .contains(activeVersion("entry-a2"), notReported("stranger"), notReported("plain"));
  }

  @Test
  public void operatorRequestRequiresACertificate() throws Exception {
    EntryVm vm = start("entry-a1", tlsSettings("entry-a1", "authority"));
    HttpResponse<String> rejected =
        send(withoutCertificate(), request(vm.operatorPort(), "/v1/status"));
    assertThat(rejected.statusCode()).isEqualTo(403);
    assertThat(rejected.headers().firstValue("Foxtail-Code")).hasValue("4007");
    assertThat(send(operatorContext(), request(vm.operatorPort(), "/v1/status")).statusCode())
        .isEqualTo(200);
    assertThat(send(withoutCertificate(), request(vm.operatorPort(), "/live")).statusCode())
        .isEqualTo(200);
  }

  @Test
  public void historyRecordsTheCertificateSubject() throws Exception {
    EntryVm vm = start("entry-a1", tlsSettings("entry-a1", "authority"));
    applyConfiguration(vm);
    assertThat(send(operatorContext(), request(vm.operatorPort(), "/v1/history")).body())
        .contains("CN=asha");
  }

  @Test
  public void peerWithoutACertificateIsRejected() throws Exception {
    EntryVm vm = start("entry-a1", tlsSettings("entry-a1", "authority"));
    assertThatThrownBy(() -> send(withoutCertificate(), request(vm.peerPort(), "/")))
        .isInstanceOf(IOException.class);
  }
}
