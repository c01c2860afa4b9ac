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

/** Whole entry VMs against stand-ins of the store and of upstreams, on loopback. */
public class EntryVmTests {

  private static final int MOST_MS = 40_000;

  /** Bound of the pages from the store's answer to the last request, in milliseconds. */
  private static final long DRAIN_MS = 2000;

  private EntryWorld world;

  @BeforeMethod
  public void begin() throws Exception {
    world = new EntryWorld();
    world.configure(4);
    for (String id : List.of("k1", "k2", "k3")) {
      world.addUpstream(id, "keyed");
    }
    world.addUpstream("p1", "plain");
    world.addUpstream("p2", "plain");
    world.addVm("vm-1", List.of(), world.storeAddress());
    EntryWorld.await("ready", () -> world.readiness(0) == 200);
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    world.close();
  }

  private void awaitOwners() throws InterruptedException {
    EntryWorld.await(
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
    return List.of("k1", "k2", "k3").stream().filter(id -> world.upstream(id).holds(key)).count();
  }

  @Test(timeOut = MOST_MS)
  public void keyedRequestsReachTheOneOwnerOfTheirKey() throws Exception {
    awaitOwners();
    Set<String> answering = new HashSet<>();
    for (int i = 0; i < 40; i++) {
      HttpAnswer answer = world.get(0, "/keyed/x?q=" + i, "r" + i);
      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.headers().get("Response-Signature")).isEqualTo("seal-r" + i);
      assertThat(answer.headers().get("Request-Id")).isEqualTo("r" + i);
      assertThat(answer.bodyText()).contains("/keyed/x?q=" + i);
      answering.add(answer.bodyText().substring(0, 2));
    }
    assertThat(answering).hasSizeGreaterThan(1);
  }

  @Test(timeOut = MOST_MS)
  public void requestThatMayRunOnceIsNotSentAgainAfterSilence() throws Exception {
    world.upstream("p1").setBehaviour(UpstreamBehaviour.SILENT);
    world.upstream("p2").setBehaviour(UpstreamBehaviour.SILENT);
    HttpAnswer answer = world.send(0, HttpMethod.POST, "/once/a", "once-1", "pledge").join();
    assertThat(answer.status()).isEqualTo(504);
    int runs =
        world.upstream("p1").runCounts().getOrDefault("once-1", 0)
            + world.upstream("p2").runCounts().getOrDefault("once-1", 0);
    assertThat(runs).isEqualTo(1);
  }

  @Test(timeOut = MOST_MS)
  public void requestThatMayRunOnceGoesElsewhereWhenItSurelyDidNotRun() {
    world.upstream("p1").setBehaviour(UpstreamBehaviour.FULL);
    for (int i = 0; i < 8; i++) {
      HttpAnswer answer = world.send(0, HttpMethod.POST, "/once/a", "once-" + i, "x").join();
      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.bodyText()).startsWith("p2 POST /once/a x");
    }
  }

  @Test(timeOut = MOST_MS)
  public void refusalSaysWhenToComeBack() {
    world.upstream("p1").setBehaviour(UpstreamBehaviour.FULL);
    world.upstream("p2").setBehaviour(UpstreamBehaviour.FULL);
    HttpAnswer answer = world.get(0, "/safe/a", "full");
    assertThat(answer.status()).isEqualTo(503);
    assertThat(Double.parseDouble(answer.headers().get("Retry-After"))).isBetween(0.001, 0.7);
  }

  @Test(timeOut = MOST_MS)
  public void repeatableRequestIsSentAgainAfterSilence() {
    world.upstream("p1").setBehaviour(UpstreamBehaviour.SILENT);
    for (int i = 0; i < 4; i++) {
      assertThat(world.get(0, "/safe/a", "safe-" + i).bodyText()).startsWith("p2");
    }
  }

  @Test(timeOut = MOST_MS)
  public void unsealedAndForeignSuccessesAreNotPassedOn() {
    world.upstream("p1").setBehaviour(UpstreamBehaviour.UNSIGNED);
    world.upstream("p2").setBehaviour(UpstreamBehaviour.UNSIGNED);
    assertThat(world.get(0, "/safe/a", "unsealed").status()).isEqualTo(502);
    world.upstream("p1").setBehaviour(UpstreamBehaviour.WRONG_REQUEST_ID);
    world.upstream("p2").setBehaviour(UpstreamBehaviour.WRONG_REQUEST_ID);
    assertThat(world.get(0, "/safe/a", "foreign").status()).isEqualTo(504);
  }

  @Test(timeOut = MOST_MS)
  public void unknownRouteIsNotFoundAndLongBodyIsRefused() {
    assertThat(world.get(0, "/none/", "n").status()).isEqualTo(404);
    HttpAnswer answer =
        world.send(0, HttpMethod.POST, "/once/a", "long", "x".repeat((1 << 20) + 1)).join();
    assertThat(answer.status()).isEqualTo(413);
  }

  @Test(timeOut = MOST_MS)
  public void longBodyIsPassedOnWhole() {
    String body = "y".repeat(700_000);
    HttpAnswer answer = world.send(0, HttpMethod.POST, "/once/a", "stream", body).join();
    assertThat(answer.status()).isEqualTo(200);
    assertThat(answer.bodyText()).endsWith(body);
  }

  @Test(timeOut = MOST_MS)
  public void pipelinedAnswersComeInOrder() throws IOException {
    world.upstream("p1").setServiceTimeMs(120);
    UpstreamAddress address = world.settings(0).callers();
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

  @Test(timeOut = MOST_MS)
  public void unfinishedHeadIsAnsweredAndClosed() throws IOException {
    UpstreamAddress address = world.settings(0).callers();
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(8000);
      socket
          .getOutputStream()
          .write("GET /safe/ HTTP/1.1\r\nHo".getBytes(StandardCharsets.US_ASCII));
      assertThat(readAll(socket.getInputStream())).startsWith("HTTP/1.1 408");
    }
  }

  @Test(timeOut = MOST_MS)
  public void drainingUpstreamGetsNothingMore() throws Exception {
    String entry = world.upstream("p1").registration("plain", "dc", "draining");
    world.store().put("servers", "p1", entry);
    TimeUnit.MILLISECONDS.sleep(DRAIN_MS);
    for (int i = 0; i < 10; i++) {
      assertThat(world.get(0, "/safe/a", "drain-" + i).bodyText()).startsWith("p2");
    }
  }

  @Test(timeOut = MOST_MS)
  public void evacuatedDataCentreGetsNothing() throws Exception {
    world.store().put("op", "evacuate/dc", "{}");
    EntryWorld.await("evacuated", () -> world.get(0, "/safe/a", "e").status() == 503);
    world.store().remove("op", "evacuate/dc");
    EntryWorld.await("taken back", () -> world.get(0, "/safe/a", "b").status() == 200);
  }

  @Test(timeOut = MOST_MS)
  public void stopAnswersWhatIsUnderWayAndThenIsNotReady() throws Exception {
    world.upstream("p1").setServiceTimeMs(400);
    world.upstream("p2").setServiceTimeMs(400);
    CompletableFuture<HttpAnswer> underWay = world.send(0, HttpMethod.POST, "/once/a", "last", "x");
    EntryWorld.await(
        "sent",
        () ->
            world.upstream("p1").runCounts().containsKey("last")
                || world.upstream("p2").runCounts().containsKey("last"));
    EntryVm other = world.addVm("vm-2", List.of(), world.storeAddress());
    CompletableFuture<Void> stopped = other.stop();
    EntryWorld.await("not ready", () -> world.readiness(1) == 503);
    assertThat(underWay.join().status()).isEqualTo(200);
    stopped.join();
  }

  @Test(timeOut = MOST_MS)
  public void configurationReachesAVmThatTheStoreRefuses() throws Exception {
    UpstreamAddress nowhere = EntryWorld.freeAddress();
    world.addVm("vm-2", List.of(world.settings(0).peers()), nowhere);
    EntryWorld.await("ready through its peer", () -> world.readiness(1) == 200);
    assertThat(world.get(1, "/safe/a", "peer").status()).isEqualTo(200);
    world.store().remove("servers", "p1");
    EntryWorld.await(
        "p1 is left there too", () -> world.get(1, "/safe/a", "p").bodyText().startsWith("p2"));
  }

  @Test(timeOut = MOST_MS)
  public void historyThatIsForgottenIsReadAnew() throws Exception {
    world.store().discardHistory();
    world.store().remove("servers", "p1");
    EntryWorld.await("p1 is left", () -> world.get(0, "/safe/a", "h").bodyText().startsWith("p2"));
  }

  /** Calls to the store are priced, and the leader alone writes the owners. */
  @Test(timeOut = MOST_MS)
  public void theLeaderDoesNotReadTheOwnersThatItWrites() throws Exception {
    awaitOwners();
    int before = world.store().calls().size();
    EntryWorld.await("more reads of the registrations", () -> calls(before, "table=servers") >= 6);
    assertThat(calls(before, "table=foxtailford-ranges")).isZero();
    assertThat(calls(before, "table=foxtailford-members")).isLessThanOrEqualTo(2);
  }

  private long calls(int after, String text) {
    List<String> calls = world.store().calls();
    return calls.subList(after, calls.size()).stream().filter(c -> c.contains(text)).count();
  }

  @Test(timeOut = MOST_MS)
  public void keysAreServedAgainAfterTheirOwnerLeft() throws Exception {
    awaitOwners();
    world.store().put("servers", "k1", world.upstream("k1").registration("keyed", "dc", "draining"));
    EntryWorld.await("k1 owns nothing", () -> keysOf("k1") == 0);
    awaitOwners();
    for (int i = 0; i < 20; i++) {
      assertThat(world.get(0, "/keyed/x", "after-" + i).status()).isEqualTo(200);
    }
  }

  private int keysOf(String id) {
    int keys = 0;
    for (int key = 5; key < 65536; key += 1024) {
      keys += world.upstream(id).holds(key) ? 1 : 0;
    }
    return keys;
  }

  @Test(timeOut = MOST_MS)
  public void ownersOutliveAnOutageOfTheStore() throws Exception {
    awaitOwners();
    world.store().faults().setUnavailable(true);
    Thread.sleep(4000);
    for (int i = 0; i < 20; i++) {
      assertThat(world.get(0, "/keyed/x", "down-" + i).status()).isEqualTo(200);
    }
    world.store().faults().setUnavailable(false);
  }

  @Test(timeOut = MOST_MS)
  public void writeWithoutAnswerIsRepeated() throws Exception {
    world.store().faults().loseWriteAnswers(2);
    awaitOwners();
    assertThat(world.get(0, "/keyed/x", "lost-write").status()).isEqualTo(200);
  }
}
