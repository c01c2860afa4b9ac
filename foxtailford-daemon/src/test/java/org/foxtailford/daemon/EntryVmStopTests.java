package org.foxtailford.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.settings.SettingsDefaults;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.net.http.HttpLimits;
import org.foxtailford.net.http.HttpServer;
import org.foxtailford.net.http.PooledHttpClient;
import org.foxtailford.schema.DaemonSettings;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.OwnershipSettings;
import org.foxtailford.schema.PlatformSettings;
import org.foxtailford.schema.RequestSettings;
import org.foxtailford.schema.VmEntry;
import org.foxtailford.schema.VmRole;
import org.foxtailford.schema.VmState;
import org.foxtailford.testkit.platform.PlatformStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EntryVmStopTests {

  private static final HttpLimits LIMITS = new HttpLimits(1 << 16, 1 << 20);
  private static final long TIMEOUT_MS = 20_000;
  private static final int LONG_ANNOUNCE_MS = 600_000;
  private static final int SLOTS = 4;
  private static final int QUEUED = 10;
  private static final String CONFIGURATION =
      "{\"services\":[{\"name\":\"pantry\",\"selector\":\"vm=u1\",\"slotsPerUpstream\":4,"
          + "\"kinds\":[{\"name\":\"check\",\"idempotent\":true,\"worth\":50}]}]}";

  private final BlockingQueue<CompletableFuture<HttpAnswer>> pendingAnswers =
      new LinkedBlockingQueue<>();
  private EventLoopGroup loops;
  private HttpServer platform;
  private HttpServer upstream;
  private PooledHttpClient client;
  private EntryVm vm;

  @BeforeMethod
  public void setUp() {
    pendingAnswers.clear();
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    client = new PooledHttpClient(loops, SLOTS + QUEUED, 1 << 20);
    upstream = new HttpServer(loops, LIMITS, new DeferredAnswers());
    int upstreamPort = upstream.bind(local(0));
    PlatformStandIn platformHandler = new PlatformStandIn();
    platformHandler.putVm(
        VmEntry.newBuilder()
            .setName("u1")
            .setDataCentre("a")
            .setRole(VmRole.VM_ROLE_UPSTREAM)
            .setState(VmState.VM_STATE_LIVE)
            .setAddress(local(upstreamPort))
            .build());
    platform = new HttpServer(loops, LIMITS, platformHandler);
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() {
    if (vm != null) {
      vm.close();
    }
    client.close();
    upstream.close();
    platform.close();
    loops.shutdownGracefully();
  }

  private final class DeferredAnswers implements HttpExchangeHandler {

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
      if (exchange.path().startsWith("/pantry")) {
        pendingAnswers.add(answer);
      }
      return answer;
    }

    @Override
    public HttpAnswer refuse(ResultCode code, String message) {
      return HttpAnswer.text(code.httpStatus(), "text/plain", message);
    }
  }

  private static Endpoint local(int port) {
    return Endpoint.newBuilder().setHost("127.0.0.1").setPort(port).build();
  }

  private void startVm(int announceMs) {
    int platformPort = platform.bind(local(0));
    DaemonSettings settings =
        DaemonSettings.newBuilder()
            .setSystemId("test")
            .setVm("entry")
            .setDataCentre("a")
            .setCallerListener(local(0))
            .setPeerListener(local(0))
            .setOperatorListener(local(0))
            .setPlatform(
                PlatformSettings.newBuilder()
                    .setAddress(local(platformPort))
                    .setTimeoutMs(1000)
                    .setPollIntervalMs(50))
            .setOwnership(
                SettingsDefaults.applyAll(OwnershipSettings.newBuilder())
                    .setLeaseTtlMs(800)
                    .setRenewIntervalMs(200)
                    .setGrantTtlMs(700))
            .setRequests(requestSettings(announceMs))
            .build();
    vm = new EntryVm(settings, 2);
    vm.start();
    HttpExchange apply =
        new HttpExchange(
            HttpMethod.PUT,
            "/v1/configuration",
            new DefaultHttpHeaders().set("If-Match", "\"0\""),
            CONFIGURATION.getBytes(StandardCharsets.UTF_8));
    assertThat(client.send(local(vm.operatorPort()), apply, TIMEOUT_MS).join().status())
        .isEqualTo(200);
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (readyStatus() != 200 && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    assertThat(readyStatus()).isEqualTo(200);
  }

  private static RequestSettings requestSettings(int announceMs) {
    return RequestSettings.newBuilder()
        .setMaxHeaderBytes(1 << 14)
        .setMaxBodyBytes(1 << 16)
        .setMaxAnswerBytes(1 << 20)
        .setDefaultTimeoutMs((int) TIMEOUT_MS)
        .setMaxInFlight(100)
        .setMaxBodyMemoryBytes(1 << 20)
        .setQueueCapacity(QUEUED)
        .setQueueTimeMs((int) TIMEOUT_MS)
        .setMaxAttempts(3)
        .setStopAnnounceMs(announceMs)
        .build();
  }

  private HttpExchange get(String uri) {
    return new HttpExchange(HttpMethod.GET, uri, new DefaultHttpHeaders(), new byte[0]);
  }

  private int readyStatus() {
    return client.send(local(vm.operatorPort()), get("/ready"), TIMEOUT_MS).join().status();
  }

  private CompletableFuture<HttpAnswer> sendCheck() {
    return client.send(local(vm.callerPort()), get("/pantry/check"), TIMEOUT_MS);
  }

  private void answerNext() throws InterruptedException {
    CompletableFuture<HttpAnswer> next = pendingAnswers.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(next).isNotNull();
    next.complete(HttpAnswer.text(200, "text/plain", "done"));
  }

  @Test
  public void requestsAreServedWhileTheStopIsAnnounced() throws InterruptedException {
    startVm(LONG_ANNOUNCE_MS);
    CompletableFuture<Void> stopped = vm.stop(TIMEOUT_MS);
    assertThat(readyStatus()).isEqualTo(503);
    CompletableFuture<HttpAnswer> duringAnnouncement = sendCheck();
    answerNext();
    assertThat(duringAnnouncement.join().status()).isEqualTo(200);
    assertThat(stopped).isNotDone();
  }

  @Test
  public void runningAndQueuedRequestsFinishBeforeTheStopCompletes() throws InterruptedException {
    startVm(0);
    List<CompletableFuture<HttpAnswer>> running = new ArrayList<>();
    for (int i = 0; i < SLOTS + QUEUED; i++) {
      running.add(sendCheck());
    }
    awaitQueued();
    CompletableFuture<Void> stopped = vm.stop(TIMEOUT_MS);
    for (int i = 0; i < running.size(); i++) {
      assertThat(stopped).isNotDone();
      answerNext();
    }
    assertThat(running).allMatch(answer -> answer.join().status() == 200);
    stopped.join();
  }

  private void awaitQueued() {
    String queued = "foxtailford_queued_total{service=\"pantry\"} " + (double) QUEUED;
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MS);
    while (!metrics().contains(queued) && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    assertThat(metrics()).contains(queued);
  }

  private List<String> metrics() {
    HttpAnswer scraped = client.send(local(vm.operatorPort()), get("/metrics"), TIMEOUT_MS).join();
    return scraped.bodyText().lines().toList();
  }

  @Test
  public void requestInFlightFinishesBeforeTheStopCompletes() throws InterruptedException {
    startVm(0);
    CompletableFuture<HttpAnswer> running = sendCheck();
    CompletableFuture<HttpAnswer> pendingAnswer =
        pendingAnswers.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertThat(pendingAnswer).isNotNull();
    CompletableFuture<Void> stopped = vm.stop(TIMEOUT_MS);
    assertThat(stopped).isNotDone();
    pendingAnswer.complete(HttpAnswer.text(200, "text/plain", "done"));
    assertThat(running.join().status()).isEqualTo(200);
    stopped.join();
    assertThatThrownBy(() -> sendCheck().join()).hasMessageContaining("no connection");
  }

  /** Guards against a request that is passed on though the process may end before its answer. */
  @Test
  public void requestThatMayOutlastTheGracePeriodIsRefused() throws Exception {
    startVm(0);
    List<CompletableFuture<HttpAnswer>> early = List.of(sendCheck(), sendCheck());
    answerNext();
    answerNext();
    early.forEach(CompletableFuture::join);
    CompletableFuture<HttpAnswer> running = sendCheck();
    CompletableFuture<HttpAnswer> pendingAnswer =
        pendingAnswers.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    CompletableFuture<Void> stopped = vm.stop(TIMEOUT_MS / 2);
    awaitNotListening();
    HttpAnswer late = sendCheck().get(TIMEOUT_MS / 4, TimeUnit.MILLISECONDS);
    assertThat(late.status()).isEqualTo(503);
    assertThat(pendingAnswers.size()).isZero();
    pendingAnswer.complete(HttpAnswer.text(200, "text/plain", "done"));
    assertThat(running.join().status()).isEqualTo(200);
    stopped.join();
  }

  private void awaitNotListening() {
    while (true) {
      try (Socket socket = new Socket("127.0.0.1", vm.callerPort())) {
        Thread.onSpinWait();
      } catch (IOException e) {
        return; // refused
      }
    }
  }
}
