package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.core.util.Assert;
import org.foxtailford.testkit.scenario.Scenario;
import org.foxtailford.testkit.scenario.ScenarioExpectation;

/** Checks what a scenario expects, during its run and at its end. */
final class ScenarioChecks {

  private final OwnershipSystem system;
  private final RequestLedger ledger;
  private final SimulatedOperators operators;
  private final List<String> failures = new ArrayList<>();

  ScenarioChecks(OwnershipSystem system, RequestLedger ledger, SimulatedOperators operators) {
    this.system = Assert.notNull(system, "system");
    this.ledger = Assert.notNull(ledger, "ledger");
    this.operators = Assert.notNull(operators, "operators");
  }

  /** Enters what is checked at a time within the run. */
  void enter(Scenario scenario) {
    for (ScenarioExpectation expected : scenario.expectations()) {
      long atMs = expected.untilMs();
      if (expected.kind() == ScenarioExpectation.Kind.SERVED_AGAIN) {
        system.queue().schedule(atMs, () -> checkAllOwned(atMs));
      } else if (expected.kind() == ScenarioExpectation.Kind.IN_FORCE) {
        system.queue().schedule(atMs, () -> checkInForce(expected));
      }
    }
  }

  private void checkAllOwned(long atMs) {
    if (!system.checker().unowned().isEmpty()) {
      failures.add("at " + atMs + " ms nobody owns " + system.checker().unowned());
    }
  }

  private void checkInForce(ScenarioExpectation expected) {
    ConfigurationCheck configurations = system.configurations();
    if (configurations.acceptedMs() < expected.fromMs()) {
      failures.add("no configuration was accepted after " + expected.fromMs() + " ms");
    }
    long accepted = configurations.acceptedVersion();
    for (SimulatedCandidate vm : system.candidates()) {
      long version = vm.knowledge().configuration().version();
      if (vm.running() && version < accepted) {
        String text = "at %d ms %s uses configuration version %d, not %d";
        failures.add(String.format(text, expected.untilMs(), vm.name(), version, accepted));
      }
    }
  }

  /** Checks what holds for the whole run. */
  void checkAtEnd(ScenarioExpectation expected) {
    switch (expected.kind()) {
      case ONE_OWNER:
        failures.addAll(system.checker().violations());
        break;
      case ALL_OWNED:
        checkAllOwned(system.queue().nowMs());
        break;
      case ANSWERED:
        checkShare(expected, ledger.answeredPercent());
        break;
      case ANSWERED_WITHIN:
        checkShare(expected, ledger.answeredWithinPercent(expected.untilMs()));
        break;
      case ANSWERED_AT_HOME:
      case IDEMPOTENT_ANSWERED_AT_HOME:
        checkShare(expected, ledger.answeredPercent(request -> isMeant(expected, request)));
        break;
      case NO_UNKNOWN_OUTCOME:
        checkOutcomes();
        break;
      case CRASHES:
        if (ledger.crashes().size() > expected.limit()) {
          failures.add("requests crashed " + ledger.crashes());
        }
        break;
      case NO_COLD_OVERLOAD:
        ledger.coldOverloads().forEach(text -> failures.add("cold and overloaded: " + text));
        break;
      case NO_LOST_CHANGE:
        operators.lostChanges().forEach(label -> failures.add(label + " was accepted and lost"));
        break;
      case NO_NEW_WORK:
        checkNoNewWork(expected);
        break;
      case NO_REVERTED_CONFIGURATION:
        failures.addAll(system.configurations().violations());
        break;
      case NO_DOUBLE_RUN:
        ledger.doubleRuns().forEach(id -> failures.add(id + " ran twice"));
        break;
      case NO_FALSE_NOT_RUN:
        ledger.falseNotRun().forEach(id -> failures.add(id + " ran, but was said not to have"));
        break;
      case SERVED_AGAIN:
      case IN_FORCE:
        break;
      default:
        throw new IllegalArgumentException(expected.kind().name());
    }
  }

  private static boolean isMeant(ScenarioExpectation expected, RequestLedger.Sent request) {
    boolean any = expected.kind() == ScenarioExpectation.Kind.ANSWERED_AT_HOME;
    return request.sentHome(expected.place())
        && request.sentBetween(expected.fromMs(), expected.untilMs())
        && (any || request.idempotent());
  }

  private void checkOutcomes() {
    List<String> unknown = ledger.unknownOutcomes();
    if (!unknown.isEmpty()) {
      String text = "%d requests have an unknown outcome, the first of them %s: %s";
      failures.add(String.format(text, unknown.size(), unknown.get(0), ledger.summary()));
    }
  }

  private void checkShare(ScenarioExpectation expected, double percent) {
    if (percent < expected.limit()) {
      String where = expected.place().isEmpty() ? "" : " sent home to " + expected.place();
      boolean timed = expected.kind() == ScenarioExpectation.Kind.ANSWERED_WITHIN;
      String when = timed ? " within " + expected.untilMs() + " ms" : "";
      String text = "%.1f%% of the requests%s were answered%s: %s";
      failures.add(String.format(text, percent, where, when, ledger.summary()));
    }
  }

  private void checkNoNewWork(ScenarioExpectation expected) {
    List<String> arrived =
        ledger.arrivedAt(expected.place(), expected.fromMs(), expected.untilMs());
    if (!arrived.isEmpty()) {
      String text = "%d requests arrived at %s between %d and %d ms, the first of them %s";
      failures.add(
          String.format(
              text,
              arrived.size(),
              expected.place(),
              expected.fromMs(),
              expected.untilMs(),
              arrived.get(0)));
    }
  }

  /** Returns the expectations that did not hold, each with what was seen. */
  List<String> failures() {
    return List.copyOf(failures);
  }
}
