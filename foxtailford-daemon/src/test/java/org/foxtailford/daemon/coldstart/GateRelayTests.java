package org.foxtailford.daemon.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Keyed requests whose owner is in a cold start. */
public class GateRelayTests {

  private static final int UNTIL_GATES_ARE_LEASED_MS = 4000;
  private static final int ANSWER_MS = 500;

  private SlowStartWorld world;

  @BeforeMethod
  public void setUp() {
    world = new SlowStartWorld(4, true, 5);
    world.run(UNTIL_GATES_ARE_LEASED_MS);
  }

  private ResultCode codeOf(SimulatedEntryVm vm) {
    CompletableFuture<HttpAnswer> answer = vm.request("/menu/get");
    world.run(ANSWER_MS);
    assertThat(answer).isDone();
    return ResultCode.findByNumber(answer.join().headers().getInt(FoxtailHeaders.CODE))
        .orElseThrow();
  }

  @Test
  public void everyEntryVmReachesAColdOwnerThroughTheHolderOfItsGate() {
    assertThat(world.vms()).extracting(this::codeOf).containsOnly(ResultCode.OK);
    assertThat(world.owner().coldSenders()).containsExactly(world.holder());
    assertThat(world.vms())
        .filteredOn(vm -> !vm.name().equals(world.holder()))
        .extracting(SimulatedEntryVm::relayed)
        .containsOnly(1.0);
    assertThat(world.vm(world.holder()).relayed()).isZero();
  }

  @Test
  public void requestIsRelayedToAHolderOnceOnly() {
    List<SimulatedEntryVm> others =
        world.vms().stream().filter(vm -> !vm.name().equals(world.holder())).toList();
    SimulatedEntryVm first = others.get(0);
    SimulatedEntryVm second = others.get(1);
    first.setLive(List.of(second.name()));
    second.setLive(List.of(first.name()));
    world.run(ANSWER_MS);
    assertThat(codeOf(first)).isEqualTo(ResultCode.UPSTREAM_COLD);
    assertThat(first.relayed()).isEqualTo(1);
    assertThat(second.relayed()).isZero();
  }

  @Test
  public void requestsBeyondTheAllowanceAreRefusedAtOnce() {
    SimulatedEntryVm vm = world.vm(world.holder());
    vm.request("/menu/get");
    vm.request("/menu/get");
    CompletableFuture<HttpAnswer> beyond = vm.request("/menu/get");
    assertThat(beyond).isDone();
    assertThat(beyond.join().headers().getInt(FoxtailHeaders.CODE))
        .isEqualTo(ResultCode.UPSTREAM_COLD.number());
    assertThat(beyond.join().headers().getInt(FoxtailHeaders.RETRY_AFTER_MS)).isPositive();
  }
}
