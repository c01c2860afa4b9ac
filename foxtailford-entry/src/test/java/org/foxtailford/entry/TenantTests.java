package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.entry.log.KeptLog;
import org.foxtailford.entry.settings.EntrySettings.TenantBounds;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.platform.JsonPlatformRows;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards the API keys of tenants on real sockets, from the caller to the upstream. */
public class TenantTests {

  private static final int TIMEOUT_MS = 60_000;

  /** Documented maximum time from a change to the first refusal of a removed key. */
  private static final long REVOCATION_MS = 2500;

  private static final int MAX_HEAD_BYTES = 16384;
  private static final String TENANTS = "['acme',['k1','k2'],0,null,null],['zeta',['k3']]";

  private final Map<String, HttpHeaders> received = new ConcurrentHashMap<>();
  private EntryTestCluster cluster;
  private int requests;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    received.clear();
    for (String id : List.of("p1", "p2")) {
      cluster
          .addUpstream(id, "plain")
          .setRequestListener(e -> received.put(e.headers().get("Request-Id"), e.headers()));
    }
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    cluster.close();
  }

  private void start(int vms) throws Exception {
    for (int vm = 0; vm < vms; vm++) {
      List<UpstreamAddress> seeds = vm == 0 ? List.of() : List.of(cluster.settings(0).peers());
      cluster.addVm("vm-" + (vm + 1), seeds, cluster.storeAddress());
    }
    awaitReady(vms);
  }

  private void awaitReady(int vms) throws InterruptedException {
    for (int vm = 0; vm < vms; vm++) {
      int number = vm;
      EntryTestCluster.await("ready", () -> cluster.readiness(number) == 200);
    }
  }

  private static HttpHeaders key(String... keys) {
    return new DefaultHttpHeaders().add("Key", List.of(keys));
  }

  private CompletableFuture<HttpAnswer> send(int vm, String path, HttpHeaders headers) {
    return cluster.send(vm, HttpMethod.GET, path, "t" + requests++, "", 7, headers);
  }

  private int status(int vm, String path, HttpHeaders headers) {
    return send(vm, path, headers).join().status();
  }

  /** Returns the header fields with which the upstream got the last request. */
  private HttpHeaders lastReceived() {
    return received.get("t" + (requests - 1));
  }

  @Test(timeOut = TIMEOUT_MS)
  public void requestWithoutOneKnownKeyNeverReachesAnUpstream() throws Exception {
    cluster.configureTenants(4, TENANTS, MAX_HEAD_BYTES);
    start(1);
    assertThat(status(0, "/safe/a", key())).isEqualTo(401);
    assertThat(status(0, "/safe/a", key(""))).isEqualTo(401);
    assertThat(status(0, "/safe/a", key("k4"))).isEqualTo(401);
    assertThat(status(0, "/safe/a", key("k1", "k1"))).isEqualTo(400);
    assertThat(status(0, "/safe/a", key("k\t1"))).isEqualTo(400);
    assertThat(status(0, "/safe/a", key("x".repeat(65536)))).isEqualTo(431);
    assertThat(sendRaw("Key: k1\u0001")).startsWith("HTTP/1.1 400");
    assertThat(sendRaw("Key: k1\r\nkey: k1")).startsWith("HTTP/1.1 400");
    assertThat(received).isEmpty();
    assertThat(status(0, "/safe/a", key("k1"))).isEqualTo(200);
  }

  private String sendRaw(String headerLines) throws Exception {
    UpstreamAddress address = cluster.settings(0).callers();
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(10_000);
      String head =
          "GET /safe/a HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n"
              + headerLines
              + "\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      InputStream in = socket.getInputStream();
      return new String(in.readAllBytes(), StandardCharsets.ISO_8859_1);
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void keyOf64KilobytesIsOneUnknownKeyIfTheHeadMayBeSoLong() throws Exception {
    cluster.configureTenants(4, TENANTS, 1 << 17);
    start(1);
    assertThat(status(0, "/safe/a", key("x".repeat(65536)))).isEqualTo(401);
    assertThat(status(0, "/open/a", key("x".repeat(65536)))).isEqualTo(200);
    assertThat(lastReceived().contains("Key")).isFalse();
  }

  @Test(timeOut = TIMEOUT_MS)
  public void upstreamGetsTheTenantOfTheKeyAndNeverTheKey() throws Exception {
    cluster.configureTenants(4, TENANTS, MAX_HEAD_BYTES);
    start(1);
    assertThat(status(0, "/safe/a", key("k2").set("Tenant-Id", "zeta"))).isEqualTo(200);
    assertThat(lastReceived().getAll("Tenant-Id")).containsExactly("acme");
    assertThat(lastReceived().contains("Key")).isFalse();
    assertThat(status(0, "/open/a", key("k3").add("tenant-id", List.of("a", "b")))).isEqualTo(200);
    assertThat(lastReceived().getAll("Tenant-Id")).containsExactly("zeta");
    assertThat(status(0, "/open/a", key("k4").set("Tenant-Id", "zeta"))).isEqualTo(200);
    assertThat(lastReceived().contains("Tenant-Id")).isFalse();
    assertThat(lastReceived().contains("Key")).isFalse();
    assertThat(status(0, "/open/a", key().set("Tenant-Id", "zeta"))).isEqualTo(200);
    assertThat(lastReceived().contains("Tenant-Id")).isFalse();
    String hopByHop = "Request-Id: hop\r\nKey: k1\r\nTenant-Id: zeta\r\nConnection: Tenant-Id, Key";
    assertThat(sendRaw(hopByHop)).startsWith("HTTP/1.1 200");
    assertThat(received.get("hop").getAll("Tenant-Id")).containsExactly("acme");
    assertThat(received.get("hop").contains("Key")).isFalse();
  }

  @Test(timeOut = TIMEOUT_MS)
  public void headersAreOrdinaryOnesWithoutTenants() throws Exception {
    cluster.configure(4);
    start(1);
    assertThat(status(0, "/safe/a", key("a", "b").set("Tenant-Id", "zeta"))).isEqualTo(200);
    assertThat(lastReceived().getAll("Key")).containsExactly("a", "b");
    assertThat(lastReceived().get("Tenant-Id")).isEqualTo("zeta");
  }

  @Test(timeOut = TIMEOUT_MS)
  public void removedKeyIsRefusedAndAddedKeyAcceptedByAllVmsInTime() throws Exception {
    cluster.configureTenants(4, TENANTS, MAX_HEAD_BYTES);
    start(3);
    assertThat(status(2, "/safe/a", key("k1"))).isEqualTo(200);
    cluster.configureTenants(5, "['acme',['k2','k5']],['zeta',['k3']]", MAX_HEAD_BYTES);
    Thread.sleep(REVOCATION_MS);
    for (int vm = 0; vm < 3; vm++) {
      assertThat(status(vm, "/safe/a", key("k1"))).as("removed, VM " + vm).isEqualTo(401);
      assertThat(status(vm, "/safe/a", key("k5"))).as("added, VM " + vm).isEqualTo(200);
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void invalidTenantsLeaveTheVersionInForce() throws Exception {
    cluster.configureTenants(4, TENANTS, MAX_HEAD_BYTES);
    start(1);
    cluster.configureTenants(5, "['acme',['k1']],['zeta',['k1']]", MAX_HEAD_BYTES);
    EntryTestCluster.await(
        "row rejected", () -> cluster.metrics(0).contains("foxtailford_rows_unreadable 1"));
    assertThat(status(0, "/safe/a", key("k2"))).isEqualTo(200);
    assertThat(status(0, "/safe/a", key("k4"))).isEqualTo(401);
    cluster.configureTenants(6, "['acme',['k4']]", MAX_HEAD_BYTES);
    EntryTestCluster.await("corrected", () -> status(0, "/safe/a", key("k4")) == 200);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void vmWithoutConfigurationAnswers503AndLearnsItFromAPeer() throws Exception {
    cluster.configureTenants(4, TENANTS, MAX_HEAD_BYTES);
    start(1);
    UpstreamAddress noStore = EntryTestCluster.freeAddress();
    UpstreamAddress noPeer = EntryTestCluster.freeAddress();
    cluster.addVm("vm-2", List.of(noPeer), noStore);
    for (String path : List.of("/safe/a", "/open/a")) {
      HttpAnswer answer = send(1, path, key("k4")).join();
      assertThat(answer.status()).isEqualTo(503);
      assertThat(answer.headers().contains("Retry-After")).isTrue();
    }
    cluster.addVm("vm-3", List.of(cluster.settings(0).peers()), noStore);
    EntryTestCluster.await("learned", () -> status(2, "/safe/a", key("k1")) == 200);
    assertThat(status(2, "/safe/a", key("k4"))).isEqualTo(401);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void keysAreRefusedWithoutConfirmationOnlyIfTheSettingsSaySo() throws Exception {
    cluster.configureTenants(4, TENANTS, MAX_HEAD_BYTES);
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    cluster.addVm(
        "vm-2",
        List.of(cluster.settings(0).peers()),
        cluster.storeAddress(),
        new JsonPlatformRows(),
        new TenantBounds(true, 3000, 5000, 0.1, 20));
    awaitReady(2);
    EntryTestCluster.await("confirmed", () -> status(1, "/safe/a", key("k1")) == 200);
    cluster.store().faults().setUnavailable(true);
    EntryTestCluster.await("unconfirmed", () -> status(1, "/safe/a", key("k1")) == 503);
    assertThat(send(1, "/safe/a", key()).join().headers().contains("Retry-After")).isTrue();
    assertThat(status(1, "/open/a", key())).isEqualTo(200);
    assertThat(status(0, "/safe/a", key("k1"))).isEqualTo(200);
    cluster.store().faults().setUnavailable(false);
    EntryTestCluster.await("confirmed again", () -> status(1, "/safe/a", key("k1")) == 200);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void burstOfUnknownKeysLeavesOthersServedAndMemoryAndLogBounded() throws Exception {
    cluster.configureTenants(4, TENANTS, MAX_HEAD_BYTES);
    start(1);
    assertThat(status(0, "/safe/a", key("k1"))).isEqualTo(200);
    long usedBefore = usedBytes();
    long startMs = System.currentTimeMillis();
    takeKeyLines();
    List<CompletableFuture<HttpAnswer>> refused = new ArrayList<>();
    List<CompletableFuture<HttpAnswer>> served = new ArrayList<>();
    for (int i = 0; i < 10_000; i++) {
      refused.add(send(0, "/safe/a", key("secret-" + i)));
      if (i % 100 == 0) {
        served.add(send(0, "/safe/a", key("k1")));
        served.get(served.size() - 1).join();
      }
    }
    assertThat(refused).allMatch(answer -> answer.join().status() == 401);
    assertThat(served).allMatch(answer -> answer.join().status() == 200);
    long seconds = (System.currentTimeMillis() - startMs) / 1000;
    List<String> lines = takeKeyLines();
    assertThat(lines).hasSizeBetween(1, (int) seconds + 1);
    assertThat(lines).noneMatch(line -> line.contains("secret-"));
    assertThat(cluster.metrics(0).lines().filter(line -> line.contains("unknown API key")))
        .hasSize(1);
    refused.clear();
    assertThat(usedBytes() - usedBefore).isLessThan(16L << 20);
  }

  private static long usedBytes() {
    System.gc();
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static List<String> takeKeyLines() {
    return KeptLog.take().stream()
        .filter(line -> line.contains("requests refused for their API key"))
        .toList();
  }
}
