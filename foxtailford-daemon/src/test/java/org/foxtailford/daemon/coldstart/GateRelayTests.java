package org.foxtailford.daemon.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpAnswer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests that keyed requests to a cold owner are relayed to the entry VM that holds its gate. */
public class GateRelayTests {

  private static final int GATE_LEASE_SETUP_MS = 4000;
  private static final int ANSWER_WAIT_MS = 500;

  private SlowStartSimulation simulation;

  @BeforeMethod
  public void setUp() {
    simulation = new SlowStartSimulation(4, true, 5);
    simulation.run(GATE_LEASE_SETUP_MS);
  }

  private ResultCode requestCode(SimulatedEntryVm vm) {
    CompletableFuture<HttpAnswer> answer = vm.request("/menu/get");
    simulation.run(ANSWER_WAIT_MS);
    assertThat(answer).isDone();
    return ResultCode.findByNumber(answer.join().headers().getInt(FoxtailHeaders.CODE))
        .orElseThrow();
  }

  @Test
  public void everyEntryVmReachesColdOwnerThroughGateHolder() {
    assertThat(simulation.vms()).extracting(this::requestCode).containsOnly(ResultCode.OK);
    assertThat(simulation.owner().coldSenders()).containsExactly(simulation.holder());
    assertThat(simulation.vms())
        .filteredOn(vm -> !vm.name().equals(simulation.holder()))
        .extracting(SimulatedEntryVm::relayCount)
        .containsOnly(1.0);
    assertThat(simulation.vm(simulation.holder()).relayCount()).isZero();
  }

  @Test
  public void requestIsRelayedAtMostOnce() {
    List<SimulatedEntryVm> others =
        simulation.vms().stream().filter(vm -> !vm.name().equals(simulation.holder())).toList();
    SimulatedEntryVm first = others.get(0);
    SimulatedEntryVm second = others.get(1);
    first.setLive(List.of(second.name()));
    second.setLive(List.of(first.name()));
    simulation.run(ANSWER_WAIT_MS);
    assertThat(requestCode(first)).isEqualTo(ResultCode.UPSTREAM_COLD);
    assertThat(first.relayCount()).isEqualTo(1);
    assertThat(second.relayCount()).isZero();
  }

  @Test
  public void requestsBeyondColdStartLimitAreRejectedImmediately() {
    SimulatedEntryVm vm = simulation.vm(simulation.holder());
    vm.request("/menu/get");
    vm.request("/menu/get");
    CompletableFuture<HttpAnswer> excess = vm.request("/menu/get");
    assertThat(excess).isDone();
    assertThat(excess.join().headers().getInt(FoxtailHeaders.CODE))
        .isEqualTo(ResultCode.UPSTREAM_COLD.number());
    assertThat(excess.join().headers().getInt(FoxtailHeaders.RETRY_AFTER_MS)).isPositive();
  }
}
