package org.foxtailford.entry;

import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.platform.JsonPlatformRows;
import org.foxtailford.testkit.published.TcpLinkStandIn;

/**
 * Two entry VMs before upstreams that answer with any bytes. The first VM has no links to the
 * upstreams, so that its requests are relayed by the second one.
 */
final class RawAnswerCluster implements AutoCloseable {

  static final int CUT_VM = 0;
  static final int SOUND_VM = 1;
  static final int UPSTREAMS = 6;

  static final String OK = "HTTP/1.1 200 OK\r\n";

  /** Answer of an upstream that is not in trouble. */
  static final String SOUND =
      OK + "Request-Id: %s\r\nResponse-Signature: whole\r\n" + "Content-Length: 5\r\n\r\nsound";

  private static final int MAX_TRIES = 100;
  private static final int TRY_INTERVAL_MS = 20;

  /** Time for which requests are worked on that shall reach all upstreams, in milliseconds. */
  private static final int WORK_MS = 40;

  /** Requests at once that shall reach several upstreams, which have four slots each. */
  private static final int CONCURRENT = 24;

  private static final String CUT_OFF = "foxtailford_upstreams_cut_off 1";
  private static final int NONE = -1;
  private static final int NEXT = -2;
  private static final String CLOSE = "Connection: close\r\n\r\n";

  private final EntryTestCluster cluster = new EntryTestCluster();
  private final Map<String, String> firstAnswers = new ConcurrentHashMap<>();
  private final Map<String, List<Integer>> arrivals = new ConcurrentHashMap<>();
  private final List<RawAnswerUpstream> upstreams = new ArrayList<>();
  private final List<TcpLinkStandIn> links = new ArrayList<>();
  private volatile int workMs;
  private final AtomicInteger upstreamInTrouble = new AtomicInteger(NONE);

  /**
   * A request that arrived at an upstream.
   *
   * @param id its id
   * @param received all that its caller received
   */
  record Arrival(String id, String received) {}

  RawAnswerCluster() throws Exception {
    cluster.configure(4);
    for (int i = 0; i < UPSTREAMS; i++) {
      int number = i;
      upstreams.add(new RawAnswerUpstream(id -> answer(number, id)));
      cluster.register("raw-" + i, "plain", upstreams.get(i).port());
    }
    Map<Integer, Integer> portByTarget = new HashMap<>();
    cluster.addVm(
        "vm-1",
        List.of(),
        cluster.storeAddress(),
        new LinkedRows(
            target -> portByTarget.computeIfAbsent(target, this::link), () -> Long.MAX_VALUE));
    cluster.addVm(
        "vm-2",
        List.of(cluster.settings(CUT_VM).peers()),
        cluster.storeAddress(),
        new JsonPlatformRows());
    for (int vm : List.of(CUT_VM, SOUND_VM)) {
      EntryTestCluster.await("served", () -> isServed(vm));
    }
    links.forEach(link -> link.setState(TcpLinkStandIn.State.RESET));
    EntryTestCluster.await("cut off", this::isCutOffAfterRequest);
    EntryTestCluster.await("relayed", () -> isServed(CUT_VM));
  }

  private boolean isCutOffAfterRequest() {
    isServed(CUT_VM);
    return cluster.metrics(CUT_VM).contains(CUT_OFF);
  }

  private int link(int targetPort) {
    try {
      TcpLinkStandIn link = new TcpLinkStandIn(targetPort);
      links.add(link);
      return link.port();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private boolean isServed(int vm) {
    return call(vm, "GET", "/safe/x", newId(), "").contains("whole");
  }

  private String answer(int upstream, String id) {
    List<Integer> sentTo = arrivals.computeIfAbsent(id, unused -> new ArrayList<>());
    boolean first;
    synchronized (sentTo) {
      first = sentTo.isEmpty();
      sentTo.add(upstream);
    }
    work();
    upstreamInTrouble.compareAndSet(NEXT, upstream);
    boolean broken = upstream == upstreamInTrouble.get();
    String answer = first ? firstAnswers.getOrDefault(id, SOUND) : SOUND;
    return (broken ? SOUND.replace("200", "000") : answer).replace("%s", id);
  }

  private void work() {
    try {
      TimeUnit.MILLISECONDS.sleep(workMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static String newId() {
    return "id" + System.nanoTime();
  }

  /** Returns the numbers of the upstreams at which a request arrived, in order. */
  List<Integer> arrivals(String id) {
    return List.copyOf(arrivals.getOrDefault(id, List.of()));
  }

  /** Makes the upstream that gets the next request send broken answers only. */
  void putNextUpstreamInTrouble() {
    upstreamInTrouble.set(NEXT);
  }

  /** Ends the trouble and returns the number of the upstream that was in it. */
  int endTrouble() {
    return upstreamInTrouble.getAndSet(NONE);
  }

  /** Returns whether a connection on which a request arrived has not been closed by its VM. */
  boolean isConnectionOpen(String id) {
    return upstreams.stream().anyMatch(upstream -> upstream.isConnectionOpen(id));
  }

  /**
   * Sends requests until one arrives at an upstream: those that have failed get nothing for a
   * while.
   *
   * @param answer answer to the first arrival; {@code %s} stands for the request's id
   * @param send sends a request with an id and returns what its caller received
   */
  Arrival sendUntilItArrives(String answer, UnaryOperator<String> send)
      throws InterruptedException {
    for (int i = 0; i < MAX_TRIES; i++) {
      String id = newId();
      firstAnswers.put(id, answer);
      String received = send.apply(id);
      if (arrivals.containsKey(id)) {
        return new Arrival(id, received);
      }
      TimeUnit.MILLISECONDS.sleep(TRY_INTERVAL_MS);
    }
    throw new AssertionError("no upstream got the request");
  }

  /** Waits until several upstreams get requests again, so that one that fails has a substitute. */
  void awaitRecovery() throws InterruptedException {
    workMs = WORK_MS;
    EntryTestCluster.await("several upstreams serve", () -> servingUpstreams() > 1);
    workMs = 0;
  }

  private long servingUpstreams() {
    List<String> ids = IntStream.range(0, CONCURRENT).mapToObj(i -> newId() + "-" + i).toList();
    List<CompletableFuture<HttpAnswer>> answers =
        ids.stream().map(id -> cluster.send(SOUND_VM, HttpMethod.GET, "/safe/x", id, "")).toList();
    answers.forEach(CompletableFuture::join);
    return ids.stream().flatMap(id -> arrivals(id).stream()).distinct().count();
  }

  /** Sends a request with a whole body and returns all that its caller receives. */
  String call(int vm, String method, String path, String id, String body) {
    String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
    return exchange(vm, method, path, id, length + CLOSE + body);
  }

  /** Begins an upload that is not ended, and returns all that its caller receives. */
  String beginUpload(int vm, String id, int bytes, String body) {
    return exchange(vm, "POST", "/once/x", id, "Content-Length: " + bytes + "\r\n" + CLOSE + body);
  }

  private String exchange(int vm, String method, String path, String id, String rest) {
    try (RawCaller caller = new RawCaller(cluster.settings(vm).callers())) {
      return caller.begin(method, path, id, "Deadline-Ms: 2000\r\n" + rest).readToEnd();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Override
  public void close() throws IOException {
    cluster.close();
    for (RawAnswerUpstream upstream : upstreams) {
      upstream.close();
    }
    links.forEach(TcpLinkStandIn::close);
  }
}
