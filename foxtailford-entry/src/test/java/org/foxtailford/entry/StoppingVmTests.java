package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Integration tests of requests that callers send on kept connections while their VM stops, which
 * takes it 3 s at most.
 */
public class StoppingVmTests {

  private static final int TIMEOUT_MS = 40_000;
  private static final int CALLERS = 8;
  private static final int UPSTREAMS = 4;

  /** Time from the begin of the stop to the first late request, in milliseconds. */
  private static final long LATE_MS = 1700;

  /** Time between the late requests of two callers, in milliseconds. */
  private static final long INTERVAL_MS = 40;

  /** Time that a late request takes, which is more than the VM has, in milliseconds. */
  private static final long WORK_MS = 1200;

  private final Map<String, String> answers = new ConcurrentHashMap<>();
  private EntryTestCluster cluster;

  @BeforeMethod
  public void begin() throws IOException {
    answers.clear();
    cluster = new EntryTestCluster();
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    cluster.close();
  }

  private void addUpstreams() {
    upstreamIds().forEach(id -> cluster.addUpstream(id, "plain"));
  }

  private EntryVm startVm() throws Exception {
    EntryVm vm = cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
    return vm;
  }

  /** Guards against a schedule of the stop that keeps the timeouts of its begin. */
  @Test(timeOut = TIMEOUT_MS)
  public void requestsUnderTimeoutsThatWereRaisedDuringTheStopAreAnswered() throws Exception {
    addUpstreams();
    cluster.configureTimeouts(4, 500);
    EntryVm vm = startVm();
    List<RawCaller> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(new RawCaller(cluster.settings(0).callers()));
      callers.get(i).begin("GET", "/safe/a", "early-" + i, "\r\n").readHead();
    }
    setWorkMs(WORK_MS);
    CompletableFuture<Void> stopped = vm.stop();
    cluster.configureTimeouts(5, 1500);
    TimeUnit.MILLISECONDS.sleep(LATE_MS);
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      startDaemon(() -> post(callers.get(number), "late-" + number));
      TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
    }
    stopped.get();
    vm.close();
    EntryTestCluster.await(
        "run requests answered", () -> answers.keySet().containsAll(lateRequests()));
  }

  /** Guards against a request behind a long answer that is run though the process ends before. */
  @Test(timeOut = TIMEOUT_MS)
  public void requestsBehindAnswersThatBeganBeforeTheStopAreNotRunInVain() throws Exception {
    try (TwoPartAnswerUpstream upstream = new TwoPartAnswerUpstream()) {
      cluster.configure(4);
      upstreamIds().forEach(id -> cluster.register(id, "plain", upstream.port()));
      EntryVm vm = startVm();
      CountDownLatch begun = new CountDownLatch(CALLERS);
      for (int i = 0; i < CALLERS; i++) {
        int number = i;
        RawCaller caller = new RawCaller(cluster.settings(0).callers());
        startDaemon(() -> getAndPost(caller, number, begun));
      }
      begun.await();
      CompletableFuture<Void> stopped = vm.stop();
      TimeUnit.MILLISECONDS.sleep(LATE_MS);
      upstream.sendEnds();
      stopped.get();
      vm.close();
      assertThat(upstream.workedOn()).isEmpty();
      assertThat(answers.values())
          .allSatisfy(
              head -> assertThat(head).contains("HTTP/1.1 503").contains("connection: close"));
    }
  }

  /** Takes a long answer, and sends a request that may not repeat as soon as it has all of it. */
  private void getAndPost(RawCaller caller, int number, CountDownLatch begun) {
    try {
      caller.begin("GET", "/safe/a", "early-" + number, "\r\n").readHead();
      begun.countDown();
      if (caller.readBody(TwoPartAnswerUpstream.BODY_BYTES)) {
        post(caller, "late-" + number);
      }
    } catch (IOException e) {
      return; // closed before
    }
  }

  private void setWorkMs(long workMs) {
    upstreamIds().forEach(id -> cluster.upstream(id).setServiceTimeMs(workMs));
  }

  private static List<String> upstreamIds() {
    return IntStream.range(0, UPSTREAMS).mapToObj(i -> "upstream-" + i).toList();
  }

  /** Returns the late requests that upstreams have begun to run. */
  private Set<String> lateRequests() {
    return upstreamIds().stream()
        .flatMap(id -> cluster.upstream(id).runCounts().keySet().stream())
        .filter(id -> id.startsWith("late"))
        .collect(Collectors.toSet());
  }

  /**
   * Sends a request that may not repeat on a kept connection, and records whether it is answered.
   */
  private void post(RawCaller caller, String id) {
    try {
      caller.begin("POST", "/once/a", id, "Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx");
      String head = caller.readHead();
      if (!head.isEmpty()) {
        answers.put(id, head);
      }
    } catch (IOException e) {
      return; // closed before
    }
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "caller");
    thread.setDaemon(true);
    thread.start();
  }
}
