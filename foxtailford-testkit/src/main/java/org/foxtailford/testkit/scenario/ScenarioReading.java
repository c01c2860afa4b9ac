package org.foxtailford.testkit.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A scenario that is being read. */
final class ScenarioReading {

  String title = "";
  long seed = 1;
  long lengthMs;
  List<String> dataCentres = List.of("dc-a");
  int entryVms = 2;
  int upstreams = 3;
  int slices = 8;
  final List<ScenarioLoad> loads = new ArrayList<>();
  final List<ScenarioFault> faults = new ArrayList<>();
  final List<ScenarioExpectation> expectations = new ArrayList<>();

  Scenario build() {
    return new Scenario(
        title,
        seed,
        lengthMs,
        dataCentres,
        entryVms,
        upstreams,
        slices,
        loads,
        faults,
        expectations);
  }

  /** Returns the data centres that faults and expectations name. */
  List<String> namedDataCentres() {
    Stream<String> places =
        Stream.concat(
            faults.stream().flatMap(fault -> fault.targets().stream()),
            expectations.stream().map(ScenarioExpectation::place));
    return places
        .map(place -> place.replace("leader of ", ""))
        .filter(place -> place.startsWith("dc-"))
        .toList();
  }
}
