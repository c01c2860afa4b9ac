package org.foxtailford.testkit.scenario;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** A scenario that is being read. */
final class ScenarioReading {

  private String title = "";
  private long seed = 1;
  private long lengthMs;
  private List<String> dataCentres = List.of("dc-a");
  private int entryVms = 2;
  private int upstreams = 3;
  private int slices = 8;
  private final List<ScenarioLoad> loads = new ArrayList<>();
  private final List<ScenarioFault> faults = new ArrayList<>();
  private final List<ScenarioExpectation> expectations = new ArrayList<>();

  void setTitle(String value) {
    title = value;
  }

  void setSeed(long value) {
    seed = value;
  }

  void setLengthMs(long value) {
    lengthMs = value;
  }

  void setDataCentres(List<String> value) {
    dataCentres = value;
  }

  void setEntryVms(int value) {
    entryVms = value;
  }

  void setUpstreams(int value) {
    upstreams = value;
  }

  void setSlices(int value) {
    slices = value;
  }

  void add(ScenarioLoad load) {
    loads.add(load);
  }

  void add(ScenarioFault fault) {
    faults.add(fault);
  }

  void add(ScenarioExpectation expectation) {
    expectations.add(expectation);
  }

  String title() {
    return title;
  }

  long lengthMs() {
    return lengthMs;
  }

  boolean expectsNothing() {
    return expectations.isEmpty();
  }

  boolean hasDataCentre(String name) {
    return dataCentres.contains(name);
  }

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
