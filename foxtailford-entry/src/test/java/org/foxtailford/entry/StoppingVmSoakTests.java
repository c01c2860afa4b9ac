package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Soak of the stop of an entry VM: callers send requests of all kinds until their connections end,
 * without waiting for answers, while timeouts and service times change. {@code
 * -Dfoxtailford.soak.seeds=N} sets the number of runs.
 */
public class StoppingVmSoakTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int CALLERS = 16;
  private static final int UPSTREAMS = 6;

  /** Maximum timeout: a request that arrives while any is taken ends before the process does. */
  private static final int MAX_TIMEOUT_MS = 1500;

  private static final int MAX_BODY_BYTES = 40_000;
  private static final int CHANGE_INTERVAL_MS = 150;
  private static final Pattern HEAD = Pattern.compile("HTTP/1.1 \\d+ .*?\r\n\r\n", Pattern.DOTALL);
  private static final Pattern ID = field("Request-Id");
  private static final Pattern LENGTH = field("Content-Length");

  private static Pattern field(String name) {
    return Pattern.compile("\r\n" + name + ": *(\\S+)", Pattern.CASE_INSENSITIVE);
  }

  @DataProvider
  public Object[][] seeds() {
    return IntStream.rangeClosed(1, Integer.getInteger("foxtailford.soak.seeds", 4))
        .mapToObj(seed -> new Object[] {seed})
        .toArray(Object[][]::new);
  }

  @Test(timeOut = TIMEOUT_MS, dataProvider = "seeds")
  public void requestsThatWereRunAreAnsweredWhole(int seed) throws Exception {
    Random random = new Random(seed);
    try (EntryTestCluster cluster = new EntryTestCluster()) {
      List<String> upstreams =
          IntStream.range(0, UPSTREAMS).mapToObj(i -> "upstream-" + i).toList();
      upstreams.forEach(id -> cluster.addUpstream(id, "plain"));
      change(cluster, 1, random);
      EntryVm vm = cluster.addVm("vm-1", List.of(), cluster.storeAddress());
      EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
      List<CompletableFuture<String>> received = new ArrayList<>();
      for (int i = 0; i < CALLERS; i++) {
        RawCaller caller = new RawCaller(cluster.settings(0).callers());
        Random draws = new Random(random.nextLong());
        String prefix = "c" + i + "-";
        startDaemon(() -> send(caller, prefix, draws));
        CompletableFuture<String> answers = new CompletableFuture<>();
        received.add(answers);
        startDaemon(() -> read(caller, answers));
      }
      TimeUnit.MILLISECONDS.sleep(random.nextInt(1000));
      CompletableFuture<Void> stopped = vm.stop();
      for (int version = 2; !stopped.isDone(); version++) {
        change(cluster, version, random);
        TimeUnit.MILLISECONDS.sleep(CHANGE_INTERVAL_MS);
      }
      vm.close();
      Set<String> answered = new HashSet<>();
      received.forEach(answers -> addAnswered(answers.join(), answered));
      Set<String> run =
          upstreams.stream()
              .flatMap(id -> cluster.upstream(id).runCounts().keySet().stream())
              .collect(Collectors.toSet());
      assertThat(run).as("run").hasSizeGreaterThan(CALLERS);
      assertThat(answered).as("answered whole").containsAll(run);
    }
  }

  private static void change(EntryTestCluster cluster, int version, Random random) {
    cluster.configureTimeouts(version, 200 + random.nextInt(MAX_TIMEOUT_MS - 200));
    for (int i = 0; i < UPSTREAMS; i++) {
      int workMs = random.nextInt(4) == 0 ? MAX_TIMEOUT_MS : 150;
      cluster.upstream("upstream-" + i).setServiceTimeMs(5 + random.nextInt(workMs));
    }
  }

  private static void send(RawCaller caller, String prefix, Random random) {
    try {
      for (int i = 0; true; i++) {
        if (random.nextInt(3) == 0) {
          int bytes = random.nextInt(4) == 0 ? MAX_BODY_BYTES : random.nextInt(100);
          caller.begin("POST", "/once/a", prefix + i, "Content-Length: " + bytes + "\r\n\r\n");
          caller.write(bytes); // the answer repeats it
        } else {
          caller.begin("GET", "/safe/a", prefix + i, "\r\n");
        }
        TimeUnit.MILLISECONDS.sleep(random.nextInt(100));
      }
    } catch (IOException e) {
      return; // the VM has closed the connection
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void read(RawCaller caller, CompletableFuture<String> received) {
    try {
      received.complete(caller.readToEnd());
    } catch (IOException e) {
      received.completeExceptionally(e);
    }
  }

  /** Adds the ids of the answers that came whole. */
  private static void addAnswered(String received, Set<String> answered) {
    Matcher head = HEAD.matcher(received);
    for (int at = 0; head.find(at) && head.start() == at; ) {
      Matcher id = ID.matcher(head.group());
      Matcher length = LENGTH.matcher(head.group());
      at = head.end() + (length.find() ? Integer.parseInt(length.group(1)) : 0);
      if (at > received.length()) {
        return;
      }
      if (id.find()) {
        answered.add(id.group(1));
      }
    }
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "caller");
    thread.setDaemon(true);
    thread.start();
  }
}
