package org.foxtailford.testkit.scenario;

import java.util.List;

/**
 * One scenario, as its file describes it.
 *
 * @param title what it shows
 * @param seed seed of every random number of the run
 * @param lengthMs length of the run, in milliseconds
 * @param dataCentres names of the data centres; VMs are dealt out to them in turn
 * @param entryVms entry VMs, named {@code entry-0} and so on
 * @param upstreams upstreams, named {@code upstream-0} and so on
 * @param slices slices of the keyed service
 * @param loads what callers send
 * @param faults what fails, and when
 * @param expectations what must hold
 */
public record Scenario(
    String title,
    long seed,
    long lengthMs,
    List<String> dataCentres,
    int entryVms,
    int upstreams,
    int slices,
    List<ScenarioLoad> loads,
    List<ScenarioFault> faults,
    List<ScenarioExpectation> expectations) {

  public Scenario {
    dataCentres = List.copyOf(dataCentres);
    loads = List.copyOf(loads);
    faults = List.copyOf(faults);
    expectations = List.copyOf(expectations);
  }
}
