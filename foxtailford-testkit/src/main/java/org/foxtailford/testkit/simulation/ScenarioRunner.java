package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.foxtailford.testkit.scenario.Scenario;
import org.foxtailford.testkit.scenario.ScenarioExpectation;
import org.foxtailford.testkit.scenario.ScenarioFault;

/** Runs scenarios on the simulated system. The same scenario gives the same trace. Thread-safe. */
public final class ScenarioRunner {

  private static final long SAMPLE_MS = 20;
  private static final long LOAD_STARTS_MS = 2500;
  private static final long LOAD_ENDS_BEFORE_MS = 1500;

  /** Runs a scenario. */
  public ScenarioResult run(Scenario scenario) {
    SplittableRandom random = new SplittableRandom(scenario.seed());
    Trace trace = new Trace(true);
    OwnershipSystem system =
        new OwnershipSystem(
            scenario.entryVms(),
            scenario.upstreams(),
            scenario.slices(),
            random.split(),
            SimulationVariant.unchanged(),
            trace);
    system.begin();
    FaultInjector injector = new FaultInjector(system, random.split(), trace);
    scenario.faults().forEach(fault -> enter(system, injector, fault));
    SimulatedCallers callers = new SimulatedCallers(system, random.split(), trace);
    long loadEndsMs = scenario.lengthMs() - LOAD_ENDS_BEFORE_MS;
    scenario.loads().forEach(load -> callers.send(load, LOAD_STARTS_MS, loadEndsMs));
    List<String> failures = new ArrayList<>();
    enterServiceChecks(system, scenario, failures);
    for (long ms = 0; ms <= scenario.lengthMs(); ms += SAMPLE_MS) {
      system.queue().runUntil(ms);
      system.checker().checkHoldings();
    }
    scenario.expectations().forEach(e -> checkAtEnd(system, callers, e, failures));
    return new ScenarioResult(failures, callers.summary(), trace.lines());
  }

  private static void enter(OwnershipSystem system, FaultInjector injector, ScenarioFault fault) {
    system.queue().schedule(fault.atMs(), () -> begin(system, injector, fault));
  }

  private static void begin(OwnershipSystem system, FaultInjector injector, ScenarioFault fault) {
    List<SimulatedNode> targets = fault.targets().stream().map(name -> node(system, name)).toList();
    switch (fault.action()) {
      case LOSE:
        targets.forEach(node -> injector.lose(node, fault.atMs(), fault.forMs()));
        break;
      case PAUSE:
        targets.forEach(node -> injector.pause(node, fault.atMs(), fault.forMs()));
        break;
      case CUT:
        injector.cutBothWays(first(targets), others(targets), fault.atMs(), fault.forMs());
        break;
      case CUT_ONE_WAY:
        injector.cut(first(targets), others(targets), fault.atMs(), fault.forMs());
        break;
      case DISTURB:
        injector.inject(FaultKind.MESSAGES_DISTURBED, fault.atMs(), fault.forMs());
        break;
      default:
        throw new IllegalArgumentException(fault.action().name());
    }
  }

  private static List<SimulatedNode> first(List<SimulatedNode> targets) {
    return targets.subList(0, 1);
  }

  private static List<SimulatedNode> others(List<SimulatedNode> targets) {
    return targets.subList(1, targets.size());
  }

  private static SimulatedNode node(OwnershipSystem system, String name) {
    if (name.equals("table")) {
      return system.table();
    }
    if (name.startsWith("upstream-")) {
      return system.upstream(name);
    }
    return system.candidates().stream()
        .filter(c -> name.equals("leader") ? c.leads() : c.name().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("nobody is " + name + " at that time"));
  }

  private static void enterServiceChecks(
      OwnershipSystem system, Scenario scenario, List<String> failures) {
    for (ScenarioExpectation expected : scenario.expectations()) {
      if (expected.kind() == ScenarioExpectation.Kind.SERVED_AGAIN) {
        long atMs = expected.fromMs() + expected.limit();
        system.queue().schedule(atMs, () -> checkAllOwned(system, atMs, failures));
      }
    }
  }

  private static void checkAllOwned(OwnershipSystem system, long atMs, List<String> failures) {
    if (!system.checker().unowned().isEmpty()) {
      failures.add("at " + atMs + " ms nobody owns " + system.checker().unowned());
    }
  }

  private static void checkAtEnd(
      OwnershipSystem system,
      SimulatedCallers callers,
      ScenarioExpectation expected,
      List<String> failures) {
    switch (expected.kind()) {
      case ONE_OWNER:
        failures.addAll(system.checker().violations());
        break;
      case ALL_OWNED:
        checkAllOwned(system, system.queue().nowMs(), failures);
        break;
      case ANSWERED:
        if (callers.answeredPercent() < expected.limit()) {
          failures.add(
              String.format(
                  "%.1f%% of the requests were answered: %s",
                  callers.answeredPercent(), callers.summary()));
        }
        break;
      case NO_DOUBLE_RUN:
        callers.doubleRuns().forEach(id -> failures.add(id + " ran twice"));
        break;
      case NO_FALSE_NOT_RUN:
        callers.falseNotRun().forEach(id -> failures.add(id + " ran, but was said not to have"));
        break;
      case SERVED_AGAIN:
        break;
      default:
        throw new IllegalArgumentException(expected.kind().name());
    }
  }
}
