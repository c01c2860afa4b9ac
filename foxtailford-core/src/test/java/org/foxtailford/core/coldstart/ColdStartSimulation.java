package org.foxtailford.core.coldstart;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/**
 * Simulates entry VMs at full load, a leader and one upstream under random faults, and counts the
 * requests at the cold upstream above its limit.
 */
final class ColdStartSimulation {

  static final int MAX_CONCURRENT = 2;
  private static final String UPSTREAM = "u1";
  private static final long WARM_UP_MS = 400;
  private static final long LEADERSHIP_MS = 300;
  private static final int MAX_DELAY_MS = 40;
  private static final GateTiming TIMING = new GateTiming(200, 100, 0, 0);

  private static final ColdStartLimits LIMITS =
      new ColdStartLimits(MAX_CONCURRENT, WARM_UP_MS, TIMING.requestTimeoutMs());

  private final Random random;
  private final List<Vm> vms = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();
  private final List<RunningRequest> atUpstream = new ArrayList<>();
  private GateLeaseManager leaseManager;
  private Set<String> live = new HashSet<>();
  private long nowMs = 10_000;
  private long leadingUntilMs;
  private long bootId = 1;
  private long bootedMs = nowMs;
  private long nextBootId = 2;
  private boolean leaderLost;
  private int admitted;
  private int limitViolations;
  private int warmAdmissions;

  ColdStartSimulation(int size, long seed) {
    random = new Random(seed);
    leaseManager = new GateLeaseManager(TIMING, nowMs);
    leadingUntilMs = nowMs + LEADERSHIP_MS;
    for (int i = 0; i < size; i++) {
      vms.add(new Vm("e" + i));
      live.add("e" + i);
    }
  }

  private record Event(long atMs, Runnable action) {}

  private record RunningRequest(
      ColdGate gate, ColdStartPermit permit, long untilMs, boolean lost) {}

  private final class Vm {
    private final String name;
    private VmIncarnation member;
    private ColdGate gate;
    private long connectedBootId;

    Vm(String name) {
      this.name = name;
      restart();
    }

    void restart() {
      member = new VmIncarnation(name, nextBootId++);
      gate = new ColdGate(name -> Optional.of(LIMITS), this::publishWarm);
      connect();
    }

    private void publishWarm(String upstream, long boot) {
      for (Vm other : vms) {
        transmit(() -> other.gate.onWarm(upstream, boot, nowMs));
      }
    }

    void connect() {
      connectedBootId = bootId;
      gate.onConnected(UPSTREAM, bootId, nowMs);
    }

    void renew() {
      long asOfMs = nowMs;
      VmIncarnation requester = member;
      ColdGate requestingGate = gate;
      transmit(
          () -> {
            GateLease lease =
                leaseManager.renew(
                    requester, asOfMs, List.of(UPSTREAM), live, leadingUntilMs, nowMs);
            transmit(() -> requestingGate.onLease(lease));
          });
    }

    void send() {
      gate.tryStart(UPSTREAM, nowMs).ifPresent(this::deliver);
    }

    private void deliver(ColdStartPermit permit) {
      if (connectedBootId != bootId) {
        gate.recordEnd(permit, true);
        gate.onDisconnected(UPSTREAM);
        connect();
        return;
      }
      long durationMs = Math.min(permit.maxTimeoutMs(), 1 + random.nextInt(150));
      boolean lost = random.nextInt(20) == 0;
      atUpstream.add(new RunningRequest(gate, permit, nowMs + durationMs, lost));
      admitted++;
      boolean cold = nowMs - bootedMs < WARM_UP_MS;
      limitViolations += cold && atUpstream.size() > MAX_CONCURRENT ? 1 : 0;
      warmAdmissions += cold ? 0 : 1;
      if (lost) {
        gate.recordEnd(permit, false);
        gate.onDisconnected(UPSTREAM);
        connect();
      }
    }
  }

  /** Delivers a message after a random delay, or drops it. */
  private void transmit(Runnable action) {
    if (random.nextInt(10) > 0) {
      events.add(new Event(nowMs + random.nextInt(MAX_DELAY_MS), action));
    }
  }

  private void tick() {
    nowMs++;
    List<Event> due = events.stream().filter(event -> event.atMs() <= nowMs).toList();
    events.removeAll(due);
    due.forEach(event -> event.action().run());
    List<RunningRequest> finished =
        atUpstream.stream().filter(request -> request.untilMs() <= nowMs).toList();
    atUpstream.removeAll(finished);
    finished.stream()
        .filter(request -> !request.lost())
        .forEach(request -> request.gate().recordEnd(request.permit(), true));
    if (leaderLost && nowMs >= leadingUntilMs) {
      leaderLost = false;
      leaseManager = new GateLeaseManager(TIMING, nowMs);
      changeMembers();
    }
    if (!leaderLost) {
      leadingUntilMs = Math.max(leadingUntilMs, nowMs + LEADERSHIP_MS);
    }
  }

  private void injectFault() {
    int draw = random.nextInt(3000);
    if (draw < 3) {
      bootId = nextBootId++;
      bootedMs = nowMs;
      atUpstream.clear();
    } else if (draw < 5) {
      leaderLost = true;
    } else if (draw < 25) {
      changeMembers();
    } else if (draw < 31) {
      vms.get(random.nextInt(vms.size())).restart();
    }
  }

  private void changeMembers() {
    String name = vms.get(random.nextInt(vms.size())).name;
    Set<String> changed = new HashSet<>(live);
    if (!changed.remove(name)) {
      changed.add(name);
    }
    live = changed;
  }

  /** Runs steps of one millisecond each with random faults. */
  void run(int steps) {
    for (int step = 0; step < steps; step++) {
      tick();
      injectFault();
      for (Vm vm : vms) {
        if (random.nextInt(40) == 0) {
          vm.renew();
        }
        vm.send();
        vm.send();
        vm.send();
      }
    }
  }

  int limitViolations() {
    return limitViolations;
  }

  int admitted() {
    return admitted;
  }

  int warmAdmissions() {
    return warmAdmissions;
  }
}
