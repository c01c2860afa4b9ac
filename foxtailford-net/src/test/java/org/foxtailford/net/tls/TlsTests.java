package org.foxtailford.net.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.KeyFactory;
import java.security.KeyStore;
import java.security.Principal;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.time.Duration;
import java.util.Base64;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509ExtendedKeyManager;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.SingleRequestClient;
import org.foxtailford.net.peer.LinkTimeouts;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.net.peer.PeerMessageHandler;
import org.foxtailford.net.peer.PeerServer;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class TlsTests {

  private static final Path CERTIFICATES = Path.of("src", "test", "resources", "tls");
  private static final Endpoint ANY_PORT = Endpoint.newBuilder().setHost("127.0.0.1").build();
  private static final int TIMEOUT_MS = 5000;

  private EventLoopGroup loops;
  private Path directory;
  private TlsContexts contexts;
  private HttpServer server;
  private int port;

  @BeforeMethod
  public void start() throws IOException {
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    directory = Files.createTempDirectory("tls");
    copy("authority.pem", "trust.pem");
    copy("entry-a1.pem", "own.pem");
    copy("entry-a1.key", "own.key");
    contexts = new TlsContexts(files());
    HttpLimits limits = new HttpLimits(4096, 1000);
    server = new HttpServer(loops, limits, new SubjectHandler(), contexts.operatorListener());
    port = server.bind(ANY_PORT);
  }

  @AfterMethod(alwaysRun = true)
  public void stop() {
    server.close();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  public void subjectOfClientCertificateIsSetInHeader() throws Exception {
    assertThat(get(client("asha", "authority")).body()).isEqualTo("CN=asha");
  }

  @Test
  public void subjectSentByClientWithoutCertificateIsRemoved() throws Exception {
    assertThat(get(clientWithoutCertificate()).body()).isEqualTo("none");
  }

  @Test
  public void certificateOfAnotherAuthorityIsRejected() throws Exception {
    SSLContext unknownAuthority = context(new UnconditionalKeyManager("stranger"));
    assertThatThrownBy(() -> get(unknownAuthority)).isInstanceOf(IOException.class);
    SSLContext knownAuthority = context(new UnconditionalKeyManager("asha"));
    assertThat(get(knownAuthority).body()).isEqualTo("CN=asha");
  }

  @Test
  public void peerListenerRequiresClientCertificate() throws Exception {
    server.close();
    HttpLimits limits = new HttpLimits(4096, 1000);
    server = new HttpServer(loops, limits, new SubjectHandler(), contexts.peerListener());
    port = server.bind(ANY_PORT);
    assertThatThrownBy(() -> get(clientWithoutCertificate())).isInstanceOf(IOException.class);
    assertThat(get(client("asha", "authority")).body()).isEqualTo("CN=asha");
  }

  @Test
  public void singleRequestClientChecksTheServer() throws Exception {
    assertThat(getOnce("127.0.0.1", client("asha", "authority")).join().bodyText())
        .isEqualTo("CN=asha");
    SSLContext otherAuthority = client("asha", "stranger-authority");
    assertThat(codeOf(getOnce("127.0.0.1", otherAuthority)))
        .isEqualTo(ResultCode.UPSTREAM_UNREACHABLE);
    SSLContext trusting = client("asha", "authority");
    assertThat(codeOf(getOnce("127.0.0.1", trusting, "other-name.invalid")))
        .isEqualTo(ResultCode.UPSTREAM_UNREACHABLE);
  }

  @Test
  public void singleRequestClientFailsIfItsCertificateIsRejected() throws Exception {
    SSLContext unknown = context(new UnconditionalKeyManager("stranger"));
    assertThat(codeOf(getOnce("127.0.0.1", unknown)))
        .isIn(ResultCode.UPSTREAM_UNREACHABLE, ResultCode.OUTCOME_UNKNOWN);
  }

  private CompletableFuture<HttpAnswer> getOnce(String host, SSLContext context) {
    return getOnce(host, context, host);
  }

  private CompletableFuture<HttpAnswer> getOnce(String host, SSLContext context, String name) {
    SingleRequestClient client =
        new SingleRequestClient(
            loops,
            1000,
            endpoint -> ClientTls.security(context, name, endpoint.getPort()),
            new SystemMillisClock());
    Endpoint endpoint = Endpoint.newBuilder().setHost(host).setPort(port).build();
    HttpExchange exchange =
        new HttpExchange(HttpMethod.GET, "/", new DefaultHttpHeaders(), new byte[0]);
    return client.send(endpoint, exchange, TIMEOUT_MS);
  }

  private static ResultCode codeOf(CompletableFuture<HttpAnswer> answer) {
    return ResultCodeException.codeOf(catchThrowable(answer::join));
  }

  @Test
  public void clientRejectsServerOfAnotherAuthority() {
    assertThatThrownBy(() -> get(client("asha", "stranger-authority")))
        .isInstanceOf(IOException.class);
  }

  @Test
  public void changedFilesAreUsedByNewConnections() throws Exception {
    assertThat(contexts.reload()).isEqualTo(TlsContexts.Reload.UNCHANGED);
    assertThat(serverSubject()).isEqualTo("CN=entry-a1");
    copy("entry-a1-renewed.pem", "own.pem");
    copy("entry-a1-renewed.key", "own.key");
    assertThat(contexts.reload()).isEqualTo(TlsContexts.Reload.RELOADED);
    assertThat(serverSubject()).isEqualTo("CN=entry-a1-renewed");
  }

  @Test
  public void unusableFilesLeaveThePreviousOnesInForce() throws Exception {
    copy("entry-a1-renewed.pem", "own.pem");
    Files.writeString(directory.resolve("own.key"), "half a ke");
    assertThat(contexts.reload()).isEqualTo(TlsContexts.Reload.REJECTED);
    assertThat(contexts.reload()).isEqualTo(TlsContexts.Reload.UNCHANGED);
    assertThat(serverSubject()).isEqualTo("CN=entry-a1");
    Files.delete(directory.resolve("own.key"));
    assertThat(contexts.reload()).isEqualTo(TlsContexts.Reload.REJECTED);
    copy("entry-a1-renewed.key", "own.key");
    assertThat(contexts.reload()).isEqualTo(TlsContexts.Reload.RELOADED);
  }

  @Test
  public void missingFileIsReportedAsInvalidSettings() throws IOException {
    Files.delete(directory.resolve("own.pem"));
    assertThatThrownBy(() -> new TlsContexts(files()))
        .isInstanceOf(ResultCodeException.class)
        .hasMessageContaining("$.tls")
        .satisfies(
            e ->
                assertThat(((ResultCodeException) e).code())
                    .isEqualTo(ResultCode.INVALID_SETTINGS));
  }

  @Test
  public void peersWithCertificatesOfSameAuthorityConnect() throws Exception {
    CompletableFuture<String> received = new CompletableFuture<>();
    try (PeerServer peers = peerServer(received)) {
      Endpoint endpoint = ANY_PORT.toBuilder().setPort(peers.bind(ANY_PORT)).build();
      try (PeerLink link = link(endpoint, contexts.peerLink())) {
        link.connect();
        awaitConnection(link);
        link.send(PeerFrame.getDefaultInstance());
        assertThat(received.get(TIMEOUT_MS, TimeUnit.MILLISECONDS)).isEqualTo("entry-b1");
      }
    }
  }

  @Test
  public void peerWithoutTlsIsRejected() throws Exception {
    CompletableFuture<String> received = new CompletableFuture<>();
    try (PeerServer peers = peerServer(received);
        PeerLink link =
            link(
                ANY_PORT.toBuilder().setPort(peers.bind(ANY_PORT)).build(), ChannelSecurity.NONE)) {
      link.connect();
      HttpClient plain = HttpClient.newHttpClient();
      HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port)).build();
      assertThatThrownBy(() -> plain.send(request, HttpResponse.BodyHandlers.ofString()))
          .isInstanceOf(IOException.class);
      assertThat(link.remote()).isEmpty();
      assertThat(received).isNotDone();
    }
  }

  private static void awaitConnection(PeerLink link) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (link.remote().isEmpty() && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    assertThat(link.remote()).isPresent();
  }

  private PeerServer peerServer(CompletableFuture<String> received) {
    PeerIdentity self = new PeerIdentity("system", "entry-a1", "dc-a", 1);
    PeerMessageHandler handler =
        new PeerMessageHandler() {
          @Override
          public void onMessage(PeerIdentity sender, PeerFrame frame) {
            received.complete(sender.vm());
          }

          @Override
          public CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request) {
            return new CompletableFuture<>();
          }

          @Override
          public void onClaimEnd(PeerIdentity sender, ClaimEnd end) {
            throw new AssertionError("no claim expected");
          }

          @Override
          public ClaimAnswer onClaim(PeerIdentity sender, ClaimRequest request) {
            return ClaimAnswer.getDefaultInstance();
          }

          @Override
          public HandOverPage onHandover(PeerIdentity sender, HandOverRequest request) {
            return HandOverPage.getDefaultInstance();
          }
        };
    return new PeerServer(
        loops, self, 4096, LinkTimeouts.DEFAULT, handler, contexts.peerListener());
  }

  private PeerLink link(Endpoint endpoint, ChannelSecurity security) {
    PeerIdentity self = new PeerIdentity("system", "entry-b1", "dc-b", 2);
    return new PeerLink(loops, self, endpoint, 4096, LinkTimeouts.DEFAULT, security);
  }

  private TlsFiles files() {
    return new TlsFiles(
        directory.resolve("own.pem"), directory.resolve("own.key"), directory.resolve("trust.pem"));
  }

  private void copy(String from, String to) throws IOException {
    Files.copy(
        CERTIFICATES.resolve(from), directory.resolve(to), StandardCopyOption.REPLACE_EXISTING);
  }

  private static SSLContext client(String name, String trust) {
    return ClientTls.context(
        CERTIFICATES.resolve(name + ".pem").toString(),
        CERTIFICATES.resolve(name + ".key").toString(),
        CERTIFICATES.resolve(trust + ".pem").toString());
  }

  private static SSLContext clientWithoutCertificate() throws Exception {
    return context();
  }

  private static SSLContext context(KeyManager... keys) throws Exception {
    KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
    store.load(null, null);
    store.setCertificateEntry("authority", certificate("authority"));
    TrustManagerFactory factory = TrustManagerFactory.getInstance("PKIX");
    factory.init(store);
    SSLContext context = SSLContext.getInstance("TLS");
    context.init(keys, factory.getTrustManagers(), new SecureRandom());
    return context;
  }

  private static X509Certificate certificate(String name) throws Exception {
    try (InputStream in = Files.newInputStream(CERTIFICATES.resolve(name + ".pem"))) {
      return (X509Certificate) CertificateFactory.getInstance("X.509").generateCertificate(in);
    }
  }

  private HttpResponse<String> get(SSLContext context) throws IOException, InterruptedException {
    HttpClient client =
        HttpClient.newBuilder()
            .sslContext(context)
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(TIMEOUT_MS))
            .build();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("https://127.0.0.1:" + port + "/"))
            .header(ClientSubjectHandler.HEADER, "CN=somebody")
            .timeout(Duration.ofMillis(TIMEOUT_MS))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private String serverSubject() throws Exception {
    HttpResponse<String> response = get(client("asha", "authority"));
    return response.sslSession().orElseThrow().getPeerPrincipal().getName();
  }

  private static final class SubjectHandler implements HttpExchangeHandler {

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      String subject = exchange.headers().get(ClientSubjectHandler.HEADER, "none");
      return CompletableFuture.completedFuture(HttpAnswer.text(200, "text/plain", subject));
    }

    @Override
    public HttpAnswer refuse(ResultCode code, String message) {
      return HttpAnswer.text(code.httpStatus(), "text/plain", message);
    }
  }

  /** Sends its certificate even if the server does not list its authority as accepted. */
  private static final class UnconditionalKeyManager extends X509ExtendedKeyManager {

    private final X509Certificate certificate;
    private final PrivateKey key;

    UnconditionalKeyManager(String name) throws Exception {
      certificate = certificate(name);
      String pem = Files.readString(CERTIFICATES.resolve(name + ".key"));
      byte[] encoded = Base64.getMimeDecoder().decode(pem.replaceAll("-----[A-Z ]+-----", ""));
      key = KeyFactory.getInstance("EC").generatePrivate(new PKCS8EncodedKeySpec(encoded));
    }

    @Override
    public String chooseClientAlias(String[] types, Principal[] issuers, Socket socket) {
      return "own";
    }

    @Override
    public String chooseEngineClientAlias(String[] types, Principal[] issuers, SSLEngine engine) {
      return "own";
    }

    @Override
    public String[] getClientAliases(String type, Principal[] issuers) {
      return new String[] {"own"};
    }

    @Override
    public String[] getServerAliases(String type, Principal[] issuers) {
      return new String[0];
    }

    @Override
    public String chooseServerAlias(String type, Principal[] issuers, Socket socket) {
      return "own";
    }

    @Override
    public X509Certificate[] getCertificateChain(String alias) {
      return new X509Certificate[] {certificate};
    }

    @Override
    public PrivateKey getPrivateKey(String alias) {
      return key;
    }
  }
}
