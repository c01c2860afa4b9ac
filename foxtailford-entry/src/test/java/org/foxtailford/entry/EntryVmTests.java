package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.testkit.published.UpstreamBehaviour;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Integration tests of entry VMs on loopback, with a simulated store and simulated upstreams. */
public class EntryVmTests {

  private static final int TIMEOUT_MS = 40_000;

  /** Documented maximum time from a change in the store to the last request, in milliseconds. */
  private static final long DRAIN_MS = 2000;

  private EntryTestCluster cluster;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    for (String id : List.of("k1", "k2", "k3")) {
      cluster.addUpstream(id, "keyed");
    }
    cluster.addUpstream("p1", "plain");
    cluster.addUpstream("p2", "plain");
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    cluster.close();
  }

  private void awaitOwners() throws InterruptedException {
    EntryTestCluster.await(
        "each key has an owner",
        () -> {
          for (int key = 5; key < 65536; key += 4096) {
            if (owners(key) != 1) {
              return false;
            }
          }
          return true;
        });
  }

  private long owners(int key) {
    return List.of("k1", "k2", "k3").stream().filter(id -> cluster.upstream(id).holds(key)).count();
  }

  @Test(timeOut = TIMEOUT_MS)
  public void keyedRequestsReachTheOneOwnerOfTheirKey() throws Exception {
    awaitOwners();
    Set<String> answeringUpstreams = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      HttpAnswer answer = cluster.get(0, "/keyed/x?q=" + i, "r" + i);
      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.headers().get("Response-Signature")).isEqualTo("seal-r" + i);
      assertThat(answer.headers().get("Request-Id")).isEqualTo("r" + i);
      assertThat(answer.bodyText()).contains("/keyed/x?q=" + i);
      answeringUpstreams.add(answer.bodyText().substring(0, 2));
    }
    assertThat(answeringUpstreams).hasSizeGreaterThan(1);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void nonIdempotentRequestIsNotRetriedAfterSilence() throws Exception {
    cluster.upstream("p1").setBehaviour(UpstreamBehaviour.SILENT);
    cluster.upstream("p2").setBehaviour(UpstreamBehaviour.SILENT);
    HttpAnswer answer = cluster.send(0, HttpMethod.POST, "/once/a", "once-1", "pledge").join();
    assertThat(answer.status()).isEqualTo(504);
    int runs =
        cluster.upstream("p1").runCounts().getOrDefault("once-1", 0)
            + cluster.upstream("p2").runCounts().getOrDefault("once-1", 0);
    assertThat(runs).isEqualTo(1);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void nonIdempotentRequestIsRetriedWhenItCertainlyDidNotRun() {
    cluster.upstream("p1").setBehaviour(UpstreamBehaviour.FULL);
    for (int i = 0; i < 8; i++) {
      HttpAnswer answer = cluster.send(0, HttpMethod.POST, "/once/a", "once-" + i, "x").join();
      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.bodyText()).startsWith("p2 POST /once/a x");
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void refusalHasARetryDelay() {
    cluster.upstream("p1").setBehaviour(UpstreamBehaviour.FULL);
    cluster.upstream("p2").setBehaviour(UpstreamBehaviour.FULL);
    HttpAnswer answer = cluster.get(0, "/safe/a", "full");
    assertThat(answer.status()).isEqualTo(503);
    assertThat(Double.parseDouble(answer.headers().get("Retry-After"))).isBetween(0.001, 0.7);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void idempotentRequestIsRetriedAfterSilence() {
    cluster.upstream("p1").setBehaviour(UpstreamBehaviour.SILENT);
    for (int i = 0; i < 4; i++) {
      assertThat(cluster.get(0, "/safe/a", "safe-" + i).bodyText()).startsWith("p2");
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void successesWithoutSignatureOrOfOtherRequestsAreNotPassedOn() {
    cluster.upstream("p1").setBehaviour(UpstreamBehaviour.UNSIGNED);
    cluster.upstream("p2").setBehaviour(UpstreamBehaviour.UNSIGNED);
    assertThat(cluster.get(0, "/safe/a", "unsealed").status()).isEqualTo(502);
    cluster.upstream("p1").setBehaviour(UpstreamBehaviour.WRONG_REQUEST_ID);
    cluster.upstream("p2").setBehaviour(UpstreamBehaviour.WRONG_REQUEST_ID);
    assertThat(cluster.get(0, "/safe/a", "foreign").status()).isEqualTo(504);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void unknownRouteIsNotFoundAndTooLongBodyIsRefused() {
    assertThat(cluster.get(0, "/none/", "n").status()).isEqualTo(404);
    HttpAnswer answer =
        cluster.send(0, HttpMethod.POST, "/once/a", "long", "x".repeat((1 << 20) + 1)).join();
    assertThat(answer.status()).isEqualTo(413);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void longBodyIsPassedOnCompletely() {
    String body = "y".repeat(700_000);
    HttpAnswer answer = cluster.send(0, HttpMethod.POST, "/once/a", "stream", body).join();
    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.bodyText()).endsWith(body);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void pipelinedRequestsAreAnsweredInOrder() throws IOException {
    cluster.upstream("p1").setServiceTimeMs(120);
    UpstreamAddress address = cluster.settings(0).callers();
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(8000);
      StringBuilder requests = new StringBuilder();
      for (int i = 0; i < 6; i++) {
        String close = i == 5 ? "Connection: close\r\n" : "";
        requests.append(
            "GET /safe/"
                + i
                + " HTTP/1.1\r\nHost: 127.0.0.1\r\nRequest-Id: pipe-"
                + i
                + "\r\nDeadline-Ms: 2000\r\n"
                + close
                + "\r\n");
      }
      socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
      String answers = readAll(socket.getInputStream());
      int at = -1;
      for (int i = 0; i < 6; i++) {
        int next = answers.indexOf("seal-pipe-" + i);
        assertThat(next).isGreaterThan(at);
        at = next;
      }
    }
  }

  private static String readAll(InputStream in) throws IOException {
    return new String(in.readAllBytes(), StandardCharsets.UTF_8);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void incompleteHeadTimesOutAndClosesTheConnection() throws IOException {
    UpstreamAddress address = cluster.settings(0).callers();
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(8000);
      socket
          .getOutputStream()
          .write("GET /safe/ HTTP/1.1\r\nHo".getBytes(StandardCharsets.US_ASCII));
      assertThat(readAll(socket.getInputStream())).startsWith("HTTP/1.1 408");
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void drainingUpstreamGetsNoRequests() throws Exception {
    String entry = cluster.upstream("p1").registration("plain", "dc", "draining");
    cluster.store().put("servers", "p1", entry);
    TimeUnit.MILLISECONDS.sleep(DRAIN_MS);
    for (int i = 0; i < 10; i++) {
      assertThat(cluster.get(0, "/safe/a", "drain-" + i).bodyText()).startsWith("p2");
    }
  }

  @Test(timeOut = TIMEOUT_MS)
  public void evacuatedDataCentreGetsNoRequests() throws Exception {
    cluster.store().put("op", "evacuate/dc", "{}");
    EntryTestCluster.await(
        "evacuation in effect", () -> cluster.get(0, "/safe/a", "e").status() == 503);
    cluster.store().remove("op", "evacuate/dc");
    EntryTestCluster.await(
        "evacuation ended", () -> cluster.get(0, "/safe/a", "b").status() == 200);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void stoppingVmIsNotReadyAndRequestAtAnotherVmIsAnswered() throws Exception {
    cluster.upstream("p1").setServiceTimeMs(400);
    cluster.upstream("p2").setServiceTimeMs(400);
    CompletableFuture<HttpAnswer> pending =
        cluster.send(0, HttpMethod.POST, "/once/a", "last", "x");
    EntryTestCluster.await(
        "request reached an upstream",
        () ->
            cluster.upstream("p1").runCounts().containsKey("last")
                || cluster.upstream("p2").runCounts().containsKey("last"));
    EntryVm other = cluster.addVm("vm-2", List.of(), cluster.storeAddress());
    CompletableFuture<Void> stopped = other.stop();
    EntryTestCluster.await("not ready", () -> cluster.readiness(1) == 503);
    assertThat(pending.join().status()).isEqualTo(200);
    stopped.join();
  }

  @Test(timeOut = TIMEOUT_MS)
  public void vmThatCannotReachTheStoreLearnsTheStateFromAPeer() throws Exception {
    UpstreamAddress nowhere = EntryTestCluster.freeAddress();
    cluster.addVm("vm-2", List.of(cluster.settings(0).peers()), nowhere);
    EntryTestCluster.await("ready with the state of its peer", () -> cluster.readiness(1) == 200);
    assertThat(cluster.get(1, "/safe/a", "peer").status()).isEqualTo(200);
    cluster.store().remove("servers", "p1");
    EntryTestCluster.await(
        "the second VM sends no requests to p1",
        () -> cluster.get(1, "/safe/a", "p").bodyText().startsWith("p2"));
  }

  @Test(timeOut = TIMEOUT_MS)
  public void rowsAreReadAgainAfterTheStoreLostItsHistory() throws Exception {
    cluster.store().discardHistory();
    cluster.store().remove("servers", "p1");
    EntryTestCluster.await(
        "p1 gets no requests", () -> cluster.get(0, "/safe/a", "h").bodyText().startsWith("p2"));
  }

  /** Calls to the store are billed, and only the leader writes the owners. */
  @Test(timeOut = TIMEOUT_MS)
  public void leaderDoesNotReadTheOwnersThatItWrites() throws Exception {
    awaitOwners();
    int before = cluster.store().calls().size();
    EntryTestCluster.await(
        "more reads of the registrations", () -> calls(before, "table=servers") >= 6);
    assertThat(calls(before, "table=foxtailford-ranges")).isZero();
    assertThat(calls(before, "table=foxtailford-members")).isLessThanOrEqualTo(2);
  }

  private long calls(int after, String text) {
    List<String> calls = cluster.store().calls();
    return calls.subList(after, calls.size()).stream().filter(c -> c.contains(text)).count();
  }

  @Test(timeOut = TIMEOUT_MS)
  public void keysGetNewOwnersAfterTheirOwnerDrains() throws Exception {
    awaitOwners();
    cluster
        .store()
        .put("servers", "k1", cluster.upstream("k1").registration("keyed", "dc", "draining"));
    EntryTestCluster.await("k1 owns no keys", () -> keysOf("k1") == 0);
    awaitOwners();
    for (int i = 0; i < 20; i++) {
      assertThat(cluster.get(0, "/keyed/x", "after-" + i).status()).isEqualTo(200);
    }
  }

  private int keysOf(String id) {
    int keys = 0;
    for (int key = 5; key < 65536; key += 1024) {
      keys += cluster.upstream(id).holds(key) ? 1 : 0;
    }
    return keys;
  }

  @Test(timeOut = TIMEOUT_MS)
  public void ownersKeepTheirKeysDuringAStoreOutage() throws Exception {
    awaitOwners();
    cluster.store().faults().setUnavailable(true);
    Thread.sleep(4000);
    for (int i = 0; i < 20; i++) {
      assertThat(cluster.get(0, "/keyed/x", "down-" + i).status()).isEqualTo(200);
    }
    cluster.store().faults().setUnavailable(false);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void writeWithoutAnswerIsRetried() throws Exception {
    cluster.store().faults().loseWriteAnswers(2);
    awaitOwners();
    assertThat(cluster.get(0, "/keyed/x", "lost-write").status()).isEqualTo(200);
  }
}
