package org.foxtailford.testkit.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.core.coldstart.ColdGate;
import org.foxtailford.core.coldstart.ColdStartLimits;
import org.foxtailford.core.coldstart.ColdStartPermit;
import org.foxtailford.core.coldstart.GateLease;
import org.foxtailford.core.coldstart.GateLeaseManager;
import org.foxtailford.core.coldstart.GateTiming;
import org.foxtailford.core.coldstart.VmIncarnation;
import org.foxtailford.core.ownership.HeldLease;
import org.foxtailford.core.result.Effect;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;

/**
 * Slow start on one start of an entry VM: connections with their boot ids, leases of gates, and,
 * while it leads, the leases that it gives.
 */
final class SimulatedGates {

  private static final GateTiming TIMING = new GateTiming(600, 400, 300, 10_000);
  private static final long WARM_UP_MS = SimulatedWork.WARM_UP_MS + 100;
  private static final long LIVE_MS = 1000;

  private final SimulatedCandidate vm;
  private final OwnershipSystem system;
  private final ColdGate gate;
  private final Map<String, Integer> connections = new HashMap<>();
  private final Map<String, Long> heardMs = new HashMap<>();
  private Optional<Keeper> keeper = Optional.empty();

  /** The keeper of one term. */
  private record Keeper(long epoch, GateLeaseManager gates) {}

  SimulatedGates(SimulatedCandidate vm, OwnershipSystem system) {
    this.vm = Assert.notNull(vm, "vm");
    this.system = Assert.notNull(system, "system");
    ColdStartLimits limits =
        new ColdStartLimits(SimulatedWork.COLD_SLOTS, WARM_UP_MS, TIMING.requestTimeoutMs());
    gate = new ColdGate(upstream -> Optional.of(limits), this::announce);
  }

  /** Opens connections, renews leases and tells others of warm upstreams; runs every round. */
  void tick() {
    system.upstreams().forEach(this::connect);
    system.candidates(vm.dataCentre()).forEach(this::renew);
    connections.forEach(
        (upstream, bootId) -> {
          if (gate.isWarm(upstream)) {
            announce(upstream, bootId);
          }
        });
  }

  private void connect(SimulatedUpstream upstream) {
    closeIfBroken(upstream);
    if (connections.containsKey(upstream.name())) {
      return;
    }
    if (!upstream.running() && !isCut(upstream)) {
      vm.path().guard().upstreamLost(upstream.name());
      return;
    }
    system
        .network()
        .callOnce(vm.name(), upstream, LIVE_MS, upstream::starts)
        .thenAcceptAsync(bootId -> onConnected(upstream, bootId), vm.control());
  }

  private void onConnected(SimulatedUpstream upstream, int bootId) {
    if (upstream.running() && upstream.starts() == bootId) {
      connections.put(upstream.name(), bootId);
      gate.onConnected(upstream.name(), bootId, vm.nowMs());
    }
  }

  /** Notices that the process at the other end of a connection is gone. */
  private void closeIfBroken(SimulatedUpstream upstream) {
    Integer bootId = connections.get(upstream.name());
    boolean gone = !upstream.running() || (bootId != null && bootId != upstream.starts());
    if (bootId != null && gone && !isCut(upstream)) {
      connections.remove(upstream.name());
      gate.onDisconnected(upstream.name());
    }
  }

  private boolean isCut(SimulatedUpstream upstream) {
    return system.network().isCut(upstream.name(), vm.name());
  }

  private void renew(SimulatedCandidate other) {
    VmIncarnation self = new VmIncarnation(vm.name(), vm.starts());
    long asOfMs = vm.nowMs();
    system
        .network()
        .callOnce(vm.name(), other, LIVE_MS, () -> other.path().gates().lease(self, asOfMs))
        .thenAcceptAsync(lease -> lease.ifPresent(gate::onLease), vm.control());
  }

  /** Leases gates to an entry VM if this one leads. */
  private Optional<GateLease> lease(VmIncarnation member, long asOfMs) {
    heardMs.put(member.vm(), vm.nowMs());
    Optional<HeldLease> held = vm.leadership();
    if (held.isEmpty()) {
      keeper = Optional.empty();
      return Optional.empty();
    }
    HeldLease term = held.get();
    if (keeper.filter(k -> k.epoch() == term.epoch()).isEmpty()) {
      keeper =
          Optional.of(new Keeper(term.epoch(), new GateLeaseManager(TIMING, term.acquiredMs())));
    }
    List<String> upstreams =
        system.upstreams().stream()
            .filter(upstream -> upstream.dataCentre().equals(vm.dataCentre()))
            .map(SimulatedNode::name)
            .toList();
    GateLeaseManager gates = keeper.orElseThrow().gates();
    return Optional.of(
        gates.renew(member, asOfMs, upstreams, live(), term.validUntilMs(), vm.nowMs()));
  }

  private Set<String> live() {
    Set<String> live = new HashSet<>();
    heardMs.forEach(
        (name, atMs) -> {
          if (vm.nowMs() - atMs < LIVE_MS) {
            live.add(name);
          }
        });
    return live;
  }

  private void announce(String upstream, long bootId) {
    system.candidates().stream()
        .filter(other -> other != vm)
        .forEach(
            other ->
                system
                    .network()
                    .send(vm.name(), other, () -> other.path().gates().onWarm(upstream, bootId)));
  }

  private void onWarm(String upstream, long bootId) {
    gate.onWarm(upstream, bootId, vm.nowMs());
  }

  /** Asks to send a request to an upstream. */
  Optional<ColdStartPermit> tryStart(String upstream) {
    if (system.variant().guardsColdStarts()) {
      closeIfBroken(system.upstream(upstream));
      return gate.tryStart(upstream, vm.nowMs());
    }
    long bootId = system.upstream(upstream).starts();
    return Optional.of(new ColdStartPermit(upstream, bootId, false, vm.nowMs(), Long.MAX_VALUE));
  }

  /** Notes how a request ended; a broken connection is opened anew in the next round. */
  void ended(ColdStartPermit ticket, ResultCode code) {
    gate.recordEnd(ticket, code == ResultCode.OK || code.effect() == Effect.NOT_RUN);
    if (code == ResultCode.OUTCOME_UNKNOWN || code == ResultCode.UPSTREAM_UNREACHABLE) {
      connections.remove(ticket.upstream());
      gate.onDisconnected(ticket.upstream());
    }
  }
}
