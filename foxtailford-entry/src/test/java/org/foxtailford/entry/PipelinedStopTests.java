package org.foxtailford.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Integration tests of a stop while callers send requests without waiting for earlier answers. */
public class PipelinedStopTests {

  private static final int TIMEOUT_MS = 60_000;
  private static final int CALLERS = 24;
  private static final int INTERVAL_MS = 40;
  private static final long WORK_MS = 64;
  private static final long BEFORE_STOP_MS = 500;
  private static final int UPSTREAMS = 24;
  private static final Pattern ANSWERED =
      Pattern.compile("Response-Signature: seal-(p-\\d+-\\d+)", Pattern.CASE_INSENSITIVE);

  private EntryTestCluster cluster;
  private EntryVm vm;
  private volatile boolean sending = true;

  @BeforeMethod
  public void begin() throws Exception {
    cluster = new EntryTestCluster();
    cluster.configure(4);
    for (int i = 0; i < UPSTREAMS; i++) {
      cluster.addUpstream("upstream-" + i, "plain").setServiceTimeMs(WORK_MS);
    }
    vm = cluster.addVm("vm-1", List.of(), cluster.storeAddress());
    EntryTestCluster.await("ready", () -> cluster.readiness(0) == 200);
  }

  @AfterMethod(alwaysRun = true)
  public void end() {
    sending = false;
    cluster.close();
  }

  /** Guards against requests that a stopping VM has passed on and drops with their connection. */
  @Test(timeOut = TIMEOUT_MS)
  public void requestsThatWerePassedOnAreAnswered() throws Exception {
    List<CompletableFuture<String>> answers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      int number = i;
      RawCaller caller = new RawCaller(cluster.settings(0).callers());
      startDaemon(() -> sendWithoutWaiting(caller, number));
      answers.add(new CompletableFuture<>());
      startDaemon(() -> read(caller, answers.get(number)));
    }
    TimeUnit.MILLISECONDS.sleep(BEFORE_STOP_MS);
    vm.stop().get();
    vm.close();
    Set<String> answered =
        answers.stream()
            .flatMap(answer -> ANSWERED.matcher(answer.join()).results())
            .map(result -> result.group(1))
            .collect(Collectors.toSet());
    Set<String> run =
        IntStream.range(0, UPSTREAMS)
            .boxed()
            .flatMap(i -> cluster.upstream("upstream-" + i).runCounts().keySet().stream())
            .collect(Collectors.toSet());
    assertThat(run).hasSizeGreaterThan(CALLERS);
    assertThat(answered).containsAll(run);
  }

  private void sendWithoutWaiting(RawCaller caller, int number) {
    try {
      for (int i = 0; sending; i++) {
        caller.begin("GET", "/safe/a", "p-" + number + "-" + i, "Deadline-Ms: 1500\r\n\r\n");
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
      }
    } catch (IOException e) {
      return; // the VM has closed the connection
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void read(RawCaller caller, CompletableFuture<String> answers) {
    try {
      answers.complete(caller.readToEnd());
    } catch (IOException e) {
      answers.completeExceptionally(e);
    }
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "caller");
    thread.setDaemon(true);
    thread.start();
  }
}
