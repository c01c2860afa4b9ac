package org.foxtailford.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
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
  private static final long PATIENCE_MS = 20_000;
  private static final int NO_END_MS = 600_000;
  private static final int SLOTS = 4;
  private static final int QUEUED = 10;
  private static final String CONFIGURATION =
      "{\"services\":[{\"name\":\"pantry\",\"selector\":\"vm=u1\",\"slotsPerUpstream\":4,"
          + "\"kinds\":[{\"name\":\"check\",\"idempotent\":true,\"worth\":50}]}]}";

  private final BlockingQueue<CompletableFuture<HttpAnswer>> atUpstream =
      new LinkedBlockingQueue<>();
  private EventLoopGroup loops;
  private HttpServer platform;
  private HttpServer upstream;
  private PooledHttpClient client;
  private EntryVm vm;

  @BeforeMethod
  public void setUp() {
    atUpstream.clear();
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    client = new PooledHttpClient(loops, SLOTS + QUEUED, 1 << 20);
    upstream = new HttpServer(loops, LIMITS, new HeldAnswers());
    int upstreamPort = upstream.bind(local(0));
    PlatformStandIn standIn = new PlatformStandIn();
    standIn.putVm(
        VmEntry.newBuilder()
            .setName("u1")
            .setDataCentre("a")
            .setRole(VmRole.VM_ROLE_UPSTREAM)
            .setState(VmState.VM_STATE_LIVE)
            .setAddress(local(upstreamPort))
            .build());
    platform = new HttpServer(loops, LIMITS, standIn);
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

  private final class HeldAnswers implements HttpExchangeHandler {

    @Override
    public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
      CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
      if (exchange.path().startsWith("/pantry")) {
        atUpstream.add(answer);
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
    assertThat(client.send(local(vm.operatorPort()), apply, PATIENCE_MS).join().status())
        .isEqualTo(200);
    long giveUpNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    while (ready() != 200 && System.nanoTime() < giveUpNanos) {
      Thread.onSpinWait();
    }
    assertThat(ready()).isEqualTo(200);
  }

  private static RequestSettings requestSettings(int announceMs) {
    return RequestSettings.newBuilder()
        .setMaxHeaderBytes(1 << 14)
        .setMaxBodyBytes(1 << 16)
        .setMaxAnswerBytes(1 << 20)
        .setDefaultTimeoutMs((int) PATIENCE_MS)
        .setMaxInFlight(100)
        .setMaxBodyMemoryBytes(1 << 20)
        .setQueueCapacity(QUEUED)
        .setQueueTimeMs((int) PATIENCE_MS)
        .setMaxAttempts(3)
        .setStopAnnounceMs(announceMs)
        .build();
  }

  private HttpExchange get(String uri) {
    return new HttpExchange(HttpMethod.GET, uri, new DefaultHttpHeaders(), new byte[0]);
  }

  private int ready() {
    return client.send(local(vm.operatorPort()), get("/ready"), PATIENCE_MS).join().status();
  }

  private CompletableFuture<HttpAnswer> check() {
    return client.send(local(vm.callerPort()), get("/pantry/check"), PATIENCE_MS);
  }

  private void answerNext() throws InterruptedException {
    CompletableFuture<HttpAnswer> next = atUpstream.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertThat(next).isNotNull();
    next.complete(HttpAnswer.text(200, "text/plain", "done"));
  }

  @Test
  public void requestsAreServedWhileTheBalancerFindsOut() throws InterruptedException {
    startVm(NO_END_MS);
    CompletableFuture<Void> stopped = vm.stop(PATIENCE_MS);
    assertThat(ready()).isEqualTo(503);
    CompletableFuture<HttpAnswer> late = check();
    answerNext();
    assertThat(late.join().status()).isEqualTo(200);
    assertThat(stopped).isNotDone();
  }

  @Test
  public void requestsAtAFullUpstreamAndInTheQueueAreFinishedBeforeTheStopEnds()
      throws InterruptedException {
    startVm(0);
    List<CompletableFuture<HttpAnswer>> running = new ArrayList<>();
    for (int i = 0; i < SLOTS + QUEUED; i++) {
      running.add(check());
    }
    awaitQueued();
    CompletableFuture<Void> stopped = vm.stop(PATIENCE_MS);
    for (int i = 0; i < running.size(); i++) {
      assertThat(stopped).isNotDone();
      answerNext();
    }
    assertThat(running).allMatch(answer -> answer.join().status() == 200);
    stopped.join();
  }

  private void awaitQueued() {
    String queued = "foxtailford_queued_total{service=\"pantry\"} " + (double) QUEUED;
    long giveUpNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    while (!metrics().contains(queued) && System.nanoTime() < giveUpNanos) {
      Thread.onSpinWait();
    }
    assertThat(metrics()).contains(queued);
  }

  private List<String> metrics() {
    HttpAnswer scraped = client.send(local(vm.operatorPort()), get("/metrics"), PATIENCE_MS).join();
    return scraped.bodyText().lines().toList();
  }

  @Test
  public void requestInFlightIsFinishedBeforeTheStopEnds() throws InterruptedException {
    startVm(0);
    CompletableFuture<HttpAnswer> running = check();
    CompletableFuture<HttpAnswer> held = atUpstream.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
    assertThat(held).isNotNull();
    CompletableFuture<Void> stopped = vm.stop(PATIENCE_MS);
    assertThat(stopped).isNotDone();
    held.complete(HttpAnswer.text(200, "text/plain", "done"));
    assertThat(running.join().status()).isEqualTo(200);
    stopped.join();
    assertThatThrownBy(() -> check().join()).hasMessageContaining("no connection");
  }
}
