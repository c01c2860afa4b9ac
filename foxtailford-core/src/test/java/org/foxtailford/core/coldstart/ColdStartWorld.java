package org.foxtailford.core.coldstart;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** Entry VMs at full load, a leader and one upstream that counts what it is given while cold. */
final class ColdStartWorld {

  static final int ALLOWANCE = 2;
  private static final String UPSTREAM = "u1";
  private static final long WARM_UP_MS = 400;
  private static final long LEADERSHIP_MS = 300;
  private static final int MAX_DELAY_MS = 40;
  private static final GateTiming TIMING = new GateTiming(200, 100, 0, 0);

  private static final ColdStartLimits LIMITS =
      new ColdStartLimits(ALLOWANCE, WARM_UP_MS, TIMING.requestTimeoutMs());

  private final Random random;
  private final List<Vm> vms = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();
  private final List<Running> atUpstream = new ArrayList<>();
  private GateLeaseManager keeper;
  private Set<String> live = new HashSet<>();
  private long nowMs = 10_000;
  private long leadsUntilMs;
  private long bootId = 1;
  private long bootedMs = nowMs;
  private long nextBootId = 2;
  private boolean leaderLost;
  private int admitted;
  private int overAllowance;
  private int warmAdmissions;

  ColdStartWorld(int size, long seed) {
    random = new Random(seed);
    keeper = new GateLeaseManager(TIMING, nowMs);
    leadsUntilMs = nowMs + LEADERSHIP_MS;
    for (int i = 0; i < size; i++) {
      vms.add(new Vm("e" + i));
      live.add("e" + i);
    }
  }

  private record Event(long atMs, Runnable action) {}

  private record Running(ColdGate gate, ColdStartPermit ticket, long untilMs, boolean lost) {}

  private final class Vm {
    private final String name;
    private VmIncarnation member;
    private ColdGate gate;
    private long connectedBoot;

    Vm(String name) {
      this.name = name;
      replace();
    }

    void replace() {
      member = new VmIncarnation(name, nextBootId++);
      gate = new ColdGate(name -> Optional.of(LIMITS), this::announce);
      connect();
    }

    private void announce(String upstream, long boot) {
      for (Vm other : vms) {
        later(() -> other.gate.onWarm(upstream, boot, nowMs));
      }
    }

    void connect() {
      connectedBoot = bootId;
      gate.onConnected(UPSTREAM, bootId, nowMs);
    }

    void renew() {
      long asOfMs = nowMs;
      VmIncarnation asked = member;
      ColdGate asking = gate;
      later(
          () -> {
            GateLease lease =
                keeper.renew(asked, asOfMs, List.of(UPSTREAM), live, leadsUntilMs, nowMs);
            later(() -> asking.onLease(lease));
          });
    }

    void send() {
      gate.tryStart(UPSTREAM, nowMs).ifPresent(this::deliver);
    }

    private void deliver(ColdStartPermit ticket) {
      if (connectedBoot != bootId) {
        gate.recordEnd(ticket, true);
        gate.onDisconnected(UPSTREAM);
        connect();
        return;
      }
      long takesMs = Math.min(ticket.maxTimeoutMs(), 1 + random.nextInt(150));
      boolean lost = random.nextInt(20) == 0;
      atUpstream.add(new Running(gate, ticket, nowMs + takesMs, lost));
      admitted++;
      boolean cold = nowMs - bootedMs < WARM_UP_MS;
      overAllowance += cold && atUpstream.size() > ALLOWANCE ? 1 : 0;
      warmAdmissions += cold ? 0 : 1;
      if (lost) {
        gate.recordEnd(ticket, false);
        gate.onDisconnected(UPSTREAM);
        connect();
      }
    }
  }

  private void later(Runnable action) {
    if (random.nextInt(10) > 0) {
      events.add(new Event(nowMs + random.nextInt(MAX_DELAY_MS), action));
    }
  }

  private void tick() {
    nowMs++;
    List<Event> due = events.stream().filter(event -> event.atMs() <= nowMs).toList();
    events.removeAll(due);
    due.forEach(event -> event.action().run());
    List<Running> over = atUpstream.stream().filter(run -> run.untilMs() <= nowMs).toList();
    atUpstream.removeAll(over);
    over.stream()
        .filter(run -> !run.lost())
        .forEach(run -> run.gate().recordEnd(run.ticket(), true));
    if (leaderLost && nowMs >= leadsUntilMs) {
      leaderLost = false;
      keeper = new GateLeaseManager(TIMING, nowMs);
      changeMembers();
    }
    if (!leaderLost) {
      leadsUntilMs = Math.max(leadsUntilMs, nowMs + LEADERSHIP_MS);
    }
  }

  private void fault() {
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
      vms.get(random.nextInt(vms.size())).replace();
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

  /** Runs a schedule of faults. */
  void run(int steps) {
    for (int step = 0; step < steps; step++) {
      tick();
      fault();
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

  int overAllowance() {
    return overAllowance;
  }

  int admitted() {
    return admitted;
  }

  int warmAdmissions() {
    return warmAdmissions;
  }
}
