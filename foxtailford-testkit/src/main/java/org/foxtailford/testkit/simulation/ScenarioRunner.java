package org.foxtailford.testkit.simulation;

import java.util.SplittableRandom;
import org.foxtailford.core.util.Assert;
import org.foxtailford.testkit.scenario.Scenario;

/** Runs scenarios on the simulated system. The same scenario gives the same trace. Thread-safe. */
public final class ScenarioRunner {

  private static final long SAMPLE_MS = 20;
  private static final long LOAD_STARTS_MS = 2500;
  private static final long LOAD_ENDS_BEFORE_MS = 1500;

  private final SimulationVariant variant;

  /** Creates a runner of the system as it is built. */
  public ScenarioRunner() {
    this(SimulationVariant.unchanged());
  }

  /**
   * Creates a runner.
   *
   * @param variant rules that its runs change
   */
  ScenarioRunner(SimulationVariant variant) {
    this.variant = Assert.notNull(variant, "variant");
  }

  /** Runs a scenario. */
  public ScenarioResult run(Scenario scenario) {
    SplittableRandom random = new SplittableRandom(scenario.seed());
    Trace trace = new Trace(true);
    OwnershipSystem system = new OwnershipSystem(layout(scenario), random.split(), variant, trace);
    system.begin();
    FaultInjector injector = new FaultInjector(system, random.split(), trace);
    SimulatedOperators operators = new SimulatedOperators(system, trace);
    RequestLedger ledger = new RequestLedger();
    SimulatedCallers callers = new SimulatedCallers(system, random.split(), ledger, trace);
    ScenarioFaults faults = new ScenarioFaults(system, injector, operators, callers, trace);
    scenario.faults().forEach(faults::enter);
    long loadEndsMs = scenario.lengthMs() - LOAD_ENDS_BEFORE_MS;
    scenario.loads().forEach(load -> callers.send(load, LOAD_STARTS_MS, loadEndsMs));
    ScenarioChecks checks = new ScenarioChecks(system, ledger, operators);
    checks.enter(scenario);
    for (long ms = 0; ms <= scenario.lengthMs(); ms += SAMPLE_MS) {
      system.queue().runUntil(ms);
      system.checker().checkHoldings();
    }
    scenario.expectations().forEach(checks::checkAtEnd);
    return new ScenarioResult(checks.failures(), ledger.summary(), trace.lines());
  }

  private static SystemLayout layout(Scenario scenario) {
    return new SystemLayout(
        scenario.dataCentres(), scenario.entryVms(), scenario.upstreams(), scenario.slices(), true);
  }
}
