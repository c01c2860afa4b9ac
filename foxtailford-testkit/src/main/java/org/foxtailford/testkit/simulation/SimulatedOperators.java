package org.foxtailford.testkit.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.LabelledDataCentre;
import org.foxtailford.testkit.simulation.SimulatedOperator.Edit;

/** Two operators who take data centres out, and who race each other with changes of labels. */
final class SimulatedOperators {

  private static final long RACE_INTERVAL_MS = 250;

  private final OwnershipSystem system;
  private final List<SimulatedOperator> operators = new ArrayList<>();
  private final Set<String> acceptedLabels = new HashSet<>();
  private int changes;

  SimulatedOperators(OwnershipSystem system, Trace trace) {
    this.system = Assert.notNull(system, "system");
    operators.add(new SimulatedOperator("operator-0", system, trace));
    operators.add(new SimulatedOperator("operator-1", system, trace));
  }

  /** Returns the operator with a name. */
  SimulatedOperator operator(String name) {
    return operators.stream().filter(o -> o.name().equals(name)).findFirst().orElseThrow();
  }

  /** Takes a data centre out, or brings it back. */
  void setOut(String dataCentre, boolean out) {
    String note = dataCentre + (out ? " out" : " back");
    Edit edit = new Edit(note, document -> withOut(document, dataCentre, out), () -> {});
    operators.get(0).apply(edit);
  }

  /** States that nothing runs in a data centre any more, or brings it back. */
  void setLost(String dataCentre, boolean lost) {
    String note = dataCentre + (lost ? " lost" : " back");
    Edit edit = new Edit(note, document -> withLost(document, dataCentre, lost), () -> {});
    operators.get(0).apply(edit);
  }

  /** Lets both operators add labels, again and again. */
  void race(long lengthMs) {
    for (long afterMs = 0; afterMs < lengthMs; afterMs += RACE_INTERVAL_MS) {
      system.queue().schedule(afterMs, () -> operators.forEach(this::addLabel));
    }
  }

  private void addLabel(SimulatedOperator operator) {
    String label = "change-" + changes++;
    String dataCentre = system.layout().dataCentres().get(0);
    operator.apply(
        new Edit(
            label,
            document -> withLabel(document, dataCentre, label),
            () -> acceptedLabels.add(label)));
  }

  /** Returns the accepted labels that the configuration does not have. */
  List<String> lostChanges() {
    Set<String> kept = new HashSet<>();
    system
        .table()
        .configuration()
        .getDataCentresList()
        .forEach(dataCentre -> kept.addAll(dataCentre.getLabelsMap().keySet()));
    return acceptedLabels.stream().filter(label -> !kept.contains(label)).sorted().toList();
  }

  private static ConfigurationDocument withOut(
      ConfigurationDocument document, String dataCentre, boolean out) {
    return with(document, labelled(document, dataCentre).setOut(out));
  }

  private static ConfigurationDocument withLost(
      ConfigurationDocument document, String dataCentre, boolean lost) {
    return with(document, labelled(document, dataCentre).setOut(lost).setLost(lost));
  }

  private static ConfigurationDocument withLabel(
      ConfigurationDocument document, String dataCentre, String label) {
    return with(document, labelled(document, dataCentre).putLabels(label, "yes"));
  }

  private static LabelledDataCentre.Builder labelled(
      ConfigurationDocument document, String dataCentre) {
    return document.getDataCentresList().stream()
        .filter(found -> found.getName().equals(dataCentre))
        .map(LabelledDataCentre::toBuilder)
        .findFirst()
        .orElseGet(() -> LabelledDataCentre.newBuilder().setName(dataCentre));
  }

  private static ConfigurationDocument with(
      ConfigurationDocument document, LabelledDataCentre.Builder changed) {
    ConfigurationDocument.Builder next = document.toBuilder().clearDataCentres();
    document.getDataCentresList().stream()
        .filter(other -> !other.getName().equals(changed.getName()))
        .forEach(next::addDataCentres);
    return next.addDataCentres(changed).build();
  }
}
