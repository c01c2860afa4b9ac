package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.tcp.ClosingEventLoopGroup;
import org.foxtailford.testkit.published.UpstreamProcessStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Integration tests of slow callers, stalled uploads and malformed bodies, on real sockets. */
public class ByteBudgetSocketTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final long BODY_BUDGET_BYTES = 24 << 20;
  private static final long ANSWER_BUDGET_BYTES = 16 << 20;
  private static final int ANSWER_BYTES = 512 << 10;
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

  private final EventLoopGroup loops = new ClosingEventLoopGroup(1);
  private final List<RawCaller> callers = new ArrayList<>();
  private EntryTestCluster cluster;
  private LargeAnswerUpstream upstream;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    upstream = new LargeAnswerUpstream(loops);
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws IOException {
    for (RawCaller caller : callers) {
      caller.close();
    }
    callers.clear();
    cluster.close();
    upstream.close();
  }

  /** Starts a VM with a number of upstreams of 4 slots each. */
  private void start(int upstreams) throws Exception {
    for (int i = 0; i < upstreams; i++) {
      cluster.register("large-" + i, "plain", upstream.port());
    }
    startVm();
  }

  private void startVm() throws Exception {
    cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  private RawCaller connect() throws IOException {
    RawCaller caller = new RawCaller(cluster.settings(0).callers());
    callers.add(caller);
    return caller;
  }

  private double metric(String name) {
    Matcher value =
        Pattern.compile("(?m)^" + name + "(?:\\{[^}]*})? (\\S+)$").matcher(cluster.metrics(0));
    assertThat(value.find()).as(name).isTrue();
    return Double.parseDouble(value.group(1));
  }

  private void awaitMetric(String name, double value) throws InterruptedException {
    EntryTestCluster.await(name + " is " + value, () -> metric(name) == value);
  }

  /** Guards against an upstream that is kept busy, and aborts, since its caller reads slowly. */
  @Test(timeOut = TIMEOUT_MS)
  public void answersOfSlowCallersAreReadWholeWhileTheBudgetAllows() throws Exception {
    start(10);
    for (int i = 0; i < 20; i++) {
      connect().begin("GET", "/safe/" + ANSWER_BYTES, "slow-" + i, "\r\n");
    }
    EntryTestCluster.await("all run", () -> upstream.runCounts().size() == 20);
    awaitMetric("foxtailford_calls", 0);
    assertThat(metric("foxtailford_answers_unsent_bytes")).isGreaterThan(20 * 256 << 10);
    for (RawCaller caller : callers) {
      caller.close();
    }
    awaitMetric("foxtailford_answers_unsent_bytes", 0);
  }

  /** Guards against memory that grows with the number of slow callers, and against cuts. */
  @Test(timeOut = TIMEOUT_MS)
  public void hundredsOfSlowCallersStayWithinTheBudgetAndDoNotDelayAFastOne() throws Exception {
    start(80);
    int slow = 300;
    for (int i = 0; i < slow; i++) {
      connect().begin("GET", "/safe/" + ANSWER_BYTES, "slow-" + i, "\r\n");
    }
    EntryTestCluster.await("all run", () -> upstream.runCounts().size() >= slow);
    EntryTestCluster.await("paused", () -> metric("foxtailford_answers_paused") > 0);
    for (int i = 0; i < 20; i++) {
      long beganMs = System.currentTimeMillis();
      HttpAnswer answer = cluster.get(0, "/safe/100000", "fast-" + i);
      assertThat(answer.status()).isEqualTo(200);
      assertThat(answer.body()).hasSize(100_000);
      assertThat(System.currentTimeMillis() - beganMs).isLessThan(1000);
      // Each answer may exceed the budget by what is read before it is passed on.
      assertThat(metric("foxtailford_answers_unsent_bytes"))
          .isLessThan(ANSWER_BUDGET_BYTES + slow * (64 << 10));
    }
    assertThat(metric("foxtailford_answers_cut_total")).isZero();
  }

  /** Guards against bodies that are read without room, or held beyond their deadline. */
  @Test(timeOut = TIMEOUT_MS)
  public void stalledUploadsAreRefusedOverTheBudgetAndEndAtTheirDeadline() throws Exception {
    start(2);
    int bytes = 250_000;
    int fitting = (int) (BODY_BUDGET_BYTES / bytes);
    String length = "Content-Length: " + bytes + "\r\n\r\n";
    long beganMs = System.currentTimeMillis();
    for (int i = 0; i < fitting; i++) {
      connect().begin("POST", "/once/10", "stalled-" + i, length).write(bytes / 2);
    }
    EntryTestCluster.await(
        "budget full", () -> metric("foxtailford_bodies_bytes") == (double) fitting * bytes);
    String refused = connect().begin("POST", "/once/10", "late", length).readToEnd();
    assertThat(refused).startsWith("HTTP/1.1 503").containsIgnoringCase("connection: close");
    assertThat(refused).containsIgnoringCase("retry-after: 0.500");
    assertThat(cluster.get(0, "/safe/10", "no-body").status()).isEqualTo(200);
    for (RawCaller caller : callers.subList(0, fitting)) {
      String answer = caller.readToEnd();
      assertThat(answer).startsWith("HTTP/1.1 503").containsIgnoringCase("retry-after");
    }
    // 1.5 s of the route, 1 s in which the rest of the body is dropped, and some for the machine.
    assertThat(System.currentTimeMillis() - beganMs).isLessThan(6000);
    awaitMetric("foxtailford_bodies_bytes", 0);
    awaitMetric("foxtailford_calls", 0);
    assertThat(upstream.runCounts()).containsOnlyKeys("no-body");
  }

  /** Guards against the statement that a request did not run, after a part of it was sent. */
  @Test(timeOut = TIMEOUT_MS)
  public void uploadThatStopsAfterAPartWasSentIsNotCalledNotRun() throws Exception {
    start(1);
    RawCaller caller = connect().begin("POST", "/once/10", "a", "Content-Length: 900000\r\n\r\n");
    String answer = caller.write(400_000).readToEnd();
    assertThat(answer).startsWith("HTTP/1.1 504").doesNotContainIgnoringCase("retry-after");
    awaitMetric("foxtailford_bodies_bytes", 0);
    awaitMetric("foxtailford_calls", 0);
    assertThat(upstream.runCounts()).isEmpty();
  }

  /** Rest of a request after its path, named for the test report. */
  private record Rest(String name, String text) {

    @Override
    public String toString() {
      return name;
    }
  }

  private static Object[] row(String name, String rest, String status, int runs) {
    return new Object[] {new Rest(name, rest), status, runs};
  }

  @DataProvider
  public Object[][] malformedBodies() {
    String chunk = "10000\r\n" + "x".repeat(65_536) + "\r\n";
    String ten = "Content-Length: 10\r\n\r\n";
    return new Object[][] {
      row("longer than declared", ten + "x".repeat(4000), "408", 1),
      row("longer by a line", ten + "x".repeat(4000) + "\r\n\r\n", "400", 1),
      row("length of 10^18", "Content-Length: 1000000000000000000\r\n\r\nxxxx", "413", 0),
      row("length of 10^19", "Content-Length: 10000000000000000000\r\n\r\nxxxx", "400", 0),
      row("negative length", "Content-Length: -5\r\n\r\nxxxx", "400", 0),
      row("two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n\r\nxxxxxx", "400", 0),
      row("length and chunks", "Content-Length: 5\r\n" + CHUNKED + "0\r\n\r\n", "400", 0),
      row("endless chunks", CHUNKED + chunk.repeat(20), "413", 0),
      // Decoding a million chunks may take longer than the route allows, before or after the send.
      row("endless small chunks", CHUNKED + "1\r\nx\r\n".repeat(1_100_000), "413|503|504", 0),
      row("malformed chunk", CHUNKED + "zz\r\nxx\r\n", "400", 0),
      row("malformed late chunk", CHUNKED + chunk.repeat(8) + "zz\r\n", "400", 0),
    };
  }

  /** Guards against unbounded memory, a hanging connection, and a request that runs twice. */
  @Test(dataProvider = "malformedBodies", timeOut = TIMEOUT_MS)
  public void malformedBodyGetsAClearErrorAndRunsNothingTwice(Rest rest, String status, int runs)
      throws Exception {
    start(2);
    RawCaller caller = connect().begin("POST", "/once/10", "malformed");
    CompletableFuture.runAsync(() -> writeQuietly(caller, rest.text()));
    String answers = caller.readToEnd();
    assertThat(answers).containsPattern("HTTP/1.1 (" + status + ")");
    assertThat(answers).containsIgnoringCase("connection: close");
    awaitMetric("foxtailford_bodies_bytes", 0);
    awaitMetric("foxtailford_calls", 0);
    assertThat(upstream.runCounts().getOrDefault("malformed", 0)).isEqualTo(runs);
  }

  private static void writeQuietly(RawCaller caller, String text) {
    try {
      caller.write(text);
    } catch (IOException e) {
      return; // the VM closed the connection before the end, as it may
    }
  }

  @DataProvider
  public Object[][] bodiesOfAnUpstream() {
    return new Object[][] {
      {"Content-Length: 900000\r\n\r\n" + "x".repeat(400_000), 900_000},
      {CHUNKED + ("186a0\r\n" + "x".repeat(100_000) + "\r\n").repeat(4), 400_000},
    };
  }

  /** Guards against a body that counts twice, or not at all, once it is passed on in parts. */
  @Test(dataProvider = "bodiesOfAnUpstream", timeOut = TIMEOUT_MS)
  public void bodyThatIsPassedOnCountsOnceAtItsUpstream(String rest, int bytes) throws Exception {
    start(1);
    connect().begin("POST", "/once/10", "a", rest);
    awaitMetric("foxtailford_upstreams_body_bytes", bytes);
    awaitMetric("foxtailford_upstreams_body_bytes", 0);
  }

  @DataProvider
  public Object[][] sentBytes() {
    return new Object[][] {{1000}, {400_000}};
  }

  /** Guards against a run of an upload whose caller went away in the middle. */
  @Test(dataProvider = "sentBytes", timeOut = TIMEOUT_MS)
  public void uploadShorterThanDeclaredNeverRuns(int sent) throws Exception {
    start(2);
    RawCaller caller = connect().begin("POST", "/once/10", "a", "Content-Length: 500000\r\n\r\n");
    caller.write(sent);
    EntryTestCluster.await("read", () -> metric("foxtailford_bodies_bytes") > 0);
    caller.close();
    awaitMetric("foxtailford_bodies_bytes", 0);
    awaitMetric("foxtailford_calls", 0);
    assertThat(upstream.runCounts()).isEmpty();
  }

  /** Guards against a pipelined upload that holds its room for as long as its caller likes. */
  @Test(timeOut = TIMEOUT_MS)
  public void bodyBehindAnEarlierAnswerIsReadOnceItsTurnHasCome() throws Exception {
    start(2);
    RawCaller caller = connect().begin("GET", "/safe/10", "first", "\r\n");
    caller.begin("POST", "/once/10", "second", "Content-Length: 200000\r\n\r\n").write(200_000);
    assertThat(caller.readHead()).startsWith("HTTP/1.1 200");
    EntryTestCluster.await("run", () -> upstream.runCounts().containsKey("second"));
    awaitMetric("foxtailford_bodies_bytes", 0);
  }

  /** Guards against an upstream that ends again and again under the same sum of uploads. */
  @Test(timeOut = TIMEOUT_MS)
  public void upstreamThatEndedUnderUploadsGetsFewerBytesAtATime() throws Exception {
    UpstreamProcessStandIn standIn = cluster.addUpstream("small", "plain");
    startVm();
    String body = "b".repeat(150_000);
    cluster.endUnder("small", "plain", "/once/fatal");
    cluster.send(0, HttpMethod.POST, "/once/fatal", "fatal-1", body).join();
    EntryTestCluster.await(
        "limited", () -> metric("foxtailford_upstreams_byte_limited") == 1 && standIn.ends() == 1);
    standIn.setServiceTimeMs(200);
    EntryTestCluster.await(
        "restarted", () -> cluster.get(0, "/safe/a", "g" + System.nanoTime()).status() == 200);
    int before = standIn.arrivedAtMs().size();
    List<CompletableFuture<HttpAnswer>> uploads = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      uploads.add(cluster.send(0, HttpMethod.POST, "/once/x", "upload-" + i, body + i));
    }
    TimeUnit.MILLISECONDS.sleep(80);
    assertThat(standIn.arrivedAtMs()).hasSize(before + 1);
    CompletableFuture<HttpAnswer> small = cluster.send(0, HttpMethod.GET, "/safe/b", "small", "");
    assertThat(small.join().status()).isEqualTo(200);
    assertThat(uploads).allMatch(upload -> upload.join().status() == 200);
    List<Long> arrivals = standIn.arrivedAtMs().subList(before, before + 3);
    assertThat(arrivals.get(1) - arrivals.get(0))
        .as("time to the one without body")
        .isLessThan(150);
    assertThat(arrivals.get(2) - arrivals.get(0)).as("time to the other").isGreaterThan(180);
  }
}
