package org.foxtailford.testkit.simulation;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.foxtailford.core.util.Assert;
import org.foxtailford.testkit.scenario.ScenarioFault;

/** Enters the faults of a scenario into a system. */
final class ScenarioFaults {

  private static final String LEADER_OF = "leader of ";
  private static final long VM_LIST_LAG_MS = 1500;

  private final OwnershipSystem system;
  private final FaultInjector injector;
  private final SimulatedOperators operators;
  private final SimulatedCallers callers;
  private final Trace trace;

  ScenarioFaults(
      OwnershipSystem system,
      FaultInjector injector,
      SimulatedOperators operators,
      SimulatedCallers callers,
      Trace trace) {
    this.system = Assert.notNull(system, "system");
    this.injector = Assert.notNull(injector, "injector");
    this.operators = Assert.notNull(operators, "operators");
    this.callers = Assert.notNull(callers, "callers");
    this.trace = Assert.notNull(trace, "trace");
  }

  /** Enters a fault; its targets are found when it begins. */
  void enter(ScenarioFault fault) {
    system.queue().schedule(fault.atMs(), () -> begin(fault));
  }

  private void begin(ScenarioFault fault) {
    switch (fault.action()) {
      case LOSE:
        all(fault).forEach(node -> injector.lose(node, fault.atMs(), fault.forMs()));
        break;
      case PAUSE:
        all(fault).forEach(node -> injector.pause(node, fault.atMs(), fault.forMs()));
        break;
      case CUT:
        injector.cutBothWays(first(fault), others(fault), fault.atMs(), fault.forMs());
        break;
      case CUT_ONE_WAY:
        injector.cut(first(fault), others(fault), fault.atMs(), fault.forMs());
        break;
      case DRAIN:
        upstreams(fault).forEach(upstream -> drain(upstream, fault));
        break;
      case SLOW:
        upstreams(fault).forEach(u -> during(fault, u.name() + " slow", u.work()::setSlow));
        break;
      case FILL:
        upstreams(fault).forEach(u -> during(fault, u.name() + " full", u.work()::setFull));
        break;
      case POISON:
        callers.sendPoison(fault.atMs(), fault.atMs() + fault.forMs());
        break;
      case RACE:
        operators.race(fault.forMs());
        break;
      case TAKE_OUT:
        order(fault, operators::setOut);
        break;
      case STATE_LOSS:
        order(fault, operators::setLost);
        break;
      case DISTURB:
        injector.inject(FaultKind.MESSAGES_DISTURBED, fault.atMs(), fault.forMs());
        break;
      default:
        throw new IllegalArgumentException(fault.action().name());
    }
  }

  private void drain(SimulatedUpstream upstream, ScenarioFault fault) {
    during(fault, upstream.name() + " draining", upstream.work()::setDraining);
    leaveListed(upstream, true, VM_LIST_LAG_MS);
    leaveListed(upstream, false, fault.forMs() + VM_LIST_LAG_MS);
  }

  private void leaveListed(SimulatedUpstream upstream, boolean leaving, long delayMs) {
    system.queue().schedule(delayMs, () -> system.table().setLeaving(upstream.name(), leaving));
  }

  private void during(ScenarioFault fault, String text, Consumer<Boolean> state) {
    trace.add(system.queue().nowMs(), "%s for %d ms", text, fault.forMs());
    state.accept(true);
    system.queue().schedule(fault.forMs(), () -> state.accept(false));
  }

  private List<SimulatedUpstream> upstreams(ScenarioFault fault) {
    return fault.targets().stream().map(system::upstream).toList();
  }

  /** Lets operators change the data centres, and change them back at the end. */
  private void order(ScenarioFault fault, BiConsumer<String, Boolean> change) {
    fault.targets().forEach(dataCentre -> change.accept(dataCentre, true));
    system
        .queue()
        .schedule(
            fault.forMs(),
            () -> fault.targets().forEach(dataCentre -> change.accept(dataCentre, false)));
  }

  private List<SimulatedNode> all(ScenarioFault fault) {
    return nodes(fault.targets());
  }

  private List<SimulatedNode> first(ScenarioFault fault) {
    return nodes(fault.targets().subList(0, 1));
  }

  private List<SimulatedNode> others(ScenarioFault fault) {
    return nodes(fault.targets().subList(1, fault.targets().size()));
  }

  private List<SimulatedNode> nodes(List<String> names) {
    return names.stream().flatMap(this::nodes).distinct().toList();
  }

  private Stream<SimulatedNode> nodes(String name) {
    if (system.layout().dataCentres().contains(name)) {
      return inDataCentre(name);
    }
    if (name.equals(SimulatedTable.NAME)) {
      return Stream.of(system.table());
    }
    if (name.startsWith("upstream-")) {
      return Stream.of(system.upstream(name));
    }
    if (name.startsWith("operator-")) {
      return Stream.of(operators.operator(name));
    }
    return Stream.of(entryVm(name));
  }

  private Stream<SimulatedNode> inDataCentre(String name) {
    return Stream.concat(
        system.candidates(name).stream(),
        system.upstreams().stream().filter(u -> u.dataCentre().equals(name)));
  }

  private SimulatedCandidate entryVm(String name) {
    return system.candidates().stream()
        .filter(candidate -> isNamed(candidate, name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("nobody is " + name + " at that time"));
  }

  private static boolean isNamed(SimulatedCandidate candidate, String name) {
    if (name.startsWith(LEADER_OF)) {
      return candidate.leads() && name.equals(LEADER_OF + candidate.dataCentre());
    }
    return name.equals("leader") ? candidate.leads() : candidate.name().equals(name);
  }
}
