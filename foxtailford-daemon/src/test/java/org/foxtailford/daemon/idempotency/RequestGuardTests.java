package org.foxtailford.daemon.idempotency;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowable;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.result.RetryLaterException;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.schema.VmList;
import org.foxtailford.testkit.platform.InMemoryTable;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests {@link RequestGuard} on three entry VMs with real peer links; the upstream counts its runs.
 */
public class RequestGuardTests {

  private static final int TIMEOUT_MS = 30_000;

  private final List<GuardedVm> vms = new ArrayList<>();
  private final AtomicInteger runs = new AtomicInteger();
  private EventLoopGroup loops;
  private InMemoryTable table;

  @BeforeMethod
  public void startVms() {
    loops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    table = new InMemoryTable();
    runs.set(0);
    vms.clear();
    for (int i = 0; i < 3; i++) {
      vms.add(new GuardedVm(loops, "e" + i, 10 + i, table, i == 0));
    }
    awaitSettled();
  }

  @AfterMethod
  public void stopVms() {
    vms.forEach(GuardedVm::close);
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /**
   * Polls until each VM is linked to the others and holds all its records under the same roster
   * version.
   */
  private void awaitSettled() {
    VmList.Builder list = VmList.newBuilder();
    vms.forEach(vm -> list.addVms(vm.entry()));
    do {
      vms.forEach(vm -> vm.poll(list.build()));
    } while (!isSettled());
  }

  private boolean isSettled() {
    long version = vms.get(0).records().holder().rosterVersion();
    boolean allLinked = vms.stream().allMatch(vm -> vms.stream().allMatch(vm::isLinkedTo));
    boolean allMembers = vms.stream().allMatch(vm -> vm.records().holder().isMember());
    return allLinked
        && allMembers
        && vms.stream().allMatch(vm -> vm.records().holder().rosterVersion() == version)
        && vms.stream().allMatch(vm -> vm.records().holder().isSettled());
  }

  @Test(timeOut = TIMEOUT_MS)
  public void retryThroughAnotherEntryVmReplaysTheAnswerWithoutARun() {
    assertThat(vms.get(0).send("id", "flour", this::run).join().bodyText()).isEqualTo("run 1");
    HttpAnswer retried = sendUntilAnswered(vms.get(1));
    assertThat(retried.bodyText()).isEqualTo("run 1");
    assertThat(retried.headers().get(FoxtailHeaders.REPLAYED)).isEqualTo("true");
    assertThat(runs).hasValue(1);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void retryThroughAReplacedEntryVmDoesNotRun() {
    vms.get(0).send("id", "flour", this::run).join();
    vms.get(2).close();
    vms.set(2, new GuardedVm(loops, "e2", 99, table, false));
    awaitSettled();
    assertThat(sendUntilAnswered(vms.get(2)).bodyText()).isEqualTo("run 1");
    assertThat(runs).hasValue(1);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void attemptThatFailsToStartCompletesWithInternalError() {
    CompletableFuture<HttpAnswer> answer =
        vms.get(0)
            .send(
                "id",
                "flour",
                () -> {
                  throw new IllegalStateException("the client is closed");
                });
    assertThat(codeOf(answer)).isEqualTo(ResultCode.INTERNAL_ERROR);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void answerSurvivesReplacementOfAllEntryVms() {
    vms.get(0).send("id", "flour", this::run).join();
    vms.get(0).close();
    vms.set(0, new GuardedVm(loops, "e0", 98, table, true));
    awaitSettled();
    vms.get(1).close();
    vms.set(1, new GuardedVm(loops, "e1", 97, table, false));
    awaitSettled();
    vms.get(2).close();
    vms.set(2, new GuardedVm(loops, "e2", 96, table, false));
    awaitSettled();
    assertThat(sendUntilAnswered(vms.get(2)).bodyText()).isEqualTo("run 1");
    assertThat(runs).hasValue(1);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void retryDuringTheFirstRunFailsAsInProgress() {
    CompletableFuture<HttpAnswer> running = new CompletableFuture<>();
    vms.get(0).send("id", "flour", () -> running);
    awaitClaims();
    Throwable failure = catchThrowable(vms.get(1).send("id", "flour", this::run)::join);
    assertThat(ResultCodeException.codeOf(failure)).isEqualTo(ResultCode.REQUEST_IN_PROGRESS);
    assertThat(RetryLaterException.findRetryAfterMs(failure).orElseThrow()).isPositive();
    assertThat(runs).hasValue(0);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void differentContentUnderTheSameIdIsRefused() {
    vms.get(0).send("id", "flour", this::run).join();
    assertThat(codeOf(vms.get(1).send("id", "rice", this::run)))
        .isEqualTo(ResultCode.REQUEST_ID_REUSED);
    assertThat(runs).hasValue(1);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void unknownOutcomeStaysUnknownThroughAnotherEntryVm() {
    assertThat(codeOf(vms.get(0).send("id", "flour", () -> failed(ResultCode.ANSWER_TIMEOUT))))
        .isEqualTo(ResultCode.ANSWER_TIMEOUT);
    ResultCode code = ResultCode.REQUEST_IN_PROGRESS;
    while (code == ResultCode.REQUEST_IN_PROGRESS) {
      code = codeOf(vms.get(1).send("id", "flour", this::run));
    }
    assertThat(code).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    assertThat(runs).hasValue(0);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void requestThatDidNotRunMayBeRetried() {
    assertThat(codeOf(vms.get(0).send("id", "flour", () -> failed(ResultCode.UPSTREAM_SHED))))
        .isEqualTo(ResultCode.UPSTREAM_SHED);
    assertThat(sendUntilAnswered(vms.get(1)).bodyText()).isEqualTo("run 1");
  }

  @Test(timeOut = TIMEOUT_MS)
  public void withoutAMajorityOfHoldersNothingRuns() {
    vms.get(1).close();
    vms.get(2).close();
    while (vms.get(0).isLinkedTo(vms.get(1)) || vms.get(0).isLinkedTo(vms.get(2))) {
      Thread.onSpinWait();
    }
    assertThat(codeOf(vms.get(0).send("id", "flour", this::run)))
        .isEqualTo(ResultCode.RECORDS_UNREACHABLE);
    assertThat(runs).hasValue(0);
  }

  @Test(timeOut = TIMEOUT_MS)
  public void requestThatCrashesTwoUpstreamsIsRefusedOnEachEntryVm() {
    simulateCrash("id1");
    while (vms.stream().anyMatch(vm -> vm.suspectCount() == 0)) {
      Thread.onSpinWait();
    }
    vms.forEach(vm -> vm.clock().advance(1000));
    simulateCrash("id2");
    for (GuardedVm vm : vms) {
      ResultCode code = ResultCode.OK;
      for (int i = 0; code != ResultCode.POISON_REQUEST; i++) {
        code = codeOf(vm.send("id3" + i, "flour", () -> failed(ResultCode.UPSTREAM_SHED)));
      }
    }
    assertThat(vms.get(1).send("other", "rice", this::run).join().bodyText()).isEqualTo("run 1");
  }

  @Test(timeOut = TIMEOUT_MS)
  public void upstreamRestartMakesRequestsLostWithItSuspect() {
    codeOf(vms.get(0).send("id1", "flour", () -> failed(ResultCode.OUTCOME_UNKNOWN)));
    assertThat(vms.get(0).suspectCount()).isZero();
    vms.get(0).onUpstreamRestarted("u1");
    assertThat(vms.get(0).suspectCount()).isEqualTo(1);
  }

  private void simulateCrash(String id) {
    codeOf(vms.get(0).send(id, "flour", () -> failed(ResultCode.OUTCOME_UNKNOWN)));
    ResultCodeException refused =
        new ResultCodeException(
            ResultCode.UPSTREAM_UNREACHABLE, "no connection", new ConnectException("refused"));
    codeOf(vms.get(0).send(id + "-beside", "rice", () -> CompletableFuture.failedFuture(refused)));
  }

  private HttpAnswer sendUntilAnswered(GuardedVm vm) {
    while (true) {
      CompletableFuture<HttpAnswer> answer = vm.send("id", "flour", this::run);
      Throwable failure = catchThrowable(answer::join);
      if (failure == null) {
        return answer.join();
      }
      assertThat(ResultCodeException.codeOf(failure)).isEqualTo(ResultCode.REQUEST_IN_PROGRESS);
    }
  }

  private void awaitClaims() {
    while (vms.stream().filter(vm -> vm.records().holder().size() > 0).count() < 2) {
      Thread.onSpinWait();
    }
  }

  private CompletableFuture<HttpAnswer> run() {
    String body = "run " + runs.incrementAndGet();
    return CompletableFuture.completedFuture(HttpAnswer.text(200, "text/plain", body));
  }

  private static CompletableFuture<HttpAnswer> failed(ResultCode code) {
    return CompletableFuture.failedFuture(new ResultCodeException(code, "test"));
  }

  private static ResultCode codeOf(CompletableFuture<HttpAnswer> answer) {
    Throwable failure = catchThrowable(answer::join);
    return failure == null ? ResultCode.OK : ResultCodeException.codeOf(failure);
  }
}
