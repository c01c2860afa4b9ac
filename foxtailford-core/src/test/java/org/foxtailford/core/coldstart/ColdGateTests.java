package org.foxtailford.core.coldstart;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ColdGateTests {

  private static final GateTiming TIMING = new GateTiming(200, 100, 50, 0);
  private static final VmIncarnation FIRST = new VmIncarnation("e1", 1);

  private static final ColdStartLimits LIMITS = new ColdStartLimits(2, 400, 100);

  private ColdGate gate;
  private int published;

  @BeforeMethod
  public void setUp() {
    published = 0;
    gate =
        new ColdGate(
            name -> name.equals("u1") ? Optional.of(LIMITS) : Optional.empty(),
            (upstream, bootId) -> published++);
  }

  private void lease(long asOfMs) {
    gate.onLease(new GateLease(FIRST, Set.of("u1"), asOfMs, 200));
  }

  @Test
  public void refusesRequestsWhileTheBootIdIsUnknown() {
    lease(0);
    assertThat(gate.tryStart("u1", 0)).isEmpty();
  }

  @Test
  public void admitsUpToTheLimitToAColdUpstreamAndOnlyForTheHolder() {
    gate.onConnected("u1", 9, 0);
    assertThat(gate.tryStart("u1", 0)).isEmpty();
    lease(0);
    assertThat(gate.tryStart("u1", 0)).isPresent();
    assertThat(gate.tryStart("u1", 0)).isPresent();
    assertThat(gate.tryStart("u1", 0)).isEmpty();
    assertThat(gate.tryStart("u1", 200)).isEmpty();
  }

  @Test
  public void holderPublishesThatTheUpstreamIsWarm() {
    gate.onConnected("u1", 9, 0);
    lease(399);
    assertThat(gate.tryStart("u1", 399).orElseThrow().cold()).isTrue();
    assertThat(gate.tryStart("u1", 400).orElseThrow().cold()).isFalse();
    assertThat(published).isEqualTo(1);
  }

  @Test
  public void newBootIdMakesAWarmUpstreamCold() {
    gate.onConnected("u1", 9, 0);
    gate.onWarm("u1", 9, 0);
    assertThat(gate.isWarm("u1")).isTrue();
    gate.onConnected("u1", 10, 1);
    assertThat(gate.tryStart("u1", 1)).isEmpty();
  }

  @Test
  public void refusalAsColdMakesAWarmUpstreamCold() {
    gate.onConnected("u1", 9, 0);
    gate.onWarm("u1", 9, 0);
    gate.onColdRefusal("u1", 5);
    assertThat(gate.tryStart("u1", 5)).isEmpty();
  }

  @Test
  public void ignoresWarmReportsForTheWarmUpTimeAfterARefusalAsCold() {
    gate.onConnected("u1", 9, 0);
    gate.onColdRefusal("u1", 5);
    assertThat(gate.onWarm("u1", 9, 404)).isFalse();
    assertThat(gate.tryStart("u1", 404)).isEmpty();
    assertThat(gate.onWarm("u1", 9, 405)).isTrue();
    assertThat(gate.tryStart("u1", 405)).isPresent();
  }

  @Test
  public void slotsStayInUseWhenTheBootIdAlternates() {
    gate.onConnected("u1", 9, 0);
    lease(0);
    ColdStartPermit first = gate.tryStart("u1", 0).orElseThrow();
    assertThat(gate.tryStart("u1", 0)).isPresent();
    assertThat(gate.onConnected("u1", 8, 1)).isTrue();
    assertThat(gate.onConnected("u1", 9, 2)).isTrue();
    assertThat(gate.tryStart("u1", 3)).isEmpty();
    gate.recordEnd(first, true);
    assertThat(gate.tryStart("u1", 4)).isPresent();
  }

  @Test
  public void upstreamWithoutLimitsIsNotGuarded() {
    ColdStartPermit permit = gate.tryStart("u2", 0).orElseThrow();
    assertThat(permit.requiredBootId()).isEmpty();
    assertThat(permit.cold()).isFalse();
  }

  @Test
  public void newHolderGetsTheGateAfterTheLastRequestOfThePreviousOne() {
    GateLeaseManager manager = new GateLeaseManager(TIMING, 0);
    VmIncarnation second = new VmIncarnation("e2", 2);
    List<String> upstreams = List.of("u1");
    long startMs = TIMING.handoverMs();
    assertThat(manager.renew(FIRST, 0, upstreams, Set.of("e1"), 9999, startMs - 1).upstreams())
        .isEmpty();
    assertThat(manager.renew(FIRST, 0, upstreams, Set.of("e1"), 9999, startMs).upstreams())
        .containsExactly("u1");
    long freeMs = startMs + TIMING.handoverMs();
    assertThat(manager.renew(second, 0, upstreams, Set.of("e2"), 9999, freeMs - 1).upstreams())
        .isEmpty();
    assertThat(manager.renew(second, 0, upstreams, Set.of("e2"), 9999, freeMs).upstreams())
        .containsExactly("u1");
  }

  @Test
  public void leaseDoesNotOutlastTheLeadership() {
    GateLeaseManager manager = new GateLeaseManager(TIMING, 0);
    GateLease lease = manager.renew(FIRST, 0, List.of("u1"), Set.of("e1"), 1050, 1000);
    assertThat(lease.ttlMs()).isEqualTo(50);
  }

  @Test
  public void admitsRequestsAndWarmsUpDespiteFaults() {
    ColdStartSimulation simulation = new ColdStartSimulation(4, 11);
    simulation.run(20_000);
    assertThat(simulation.admitted()).isPositive();
    assertThat(simulation.warmAdmissions()).isPositive();
  }
}
