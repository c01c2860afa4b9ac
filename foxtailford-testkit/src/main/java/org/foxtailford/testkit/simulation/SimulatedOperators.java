package org.foxtailford.testkit.simulation;

import java.util.function.UnaryOperator;
import org.foxtailford.core.configuration.ConfigurationChange;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.LabelledDataCentre;

/** Operators who change the configuration, again and again until a change is accepted. */
final class SimulatedOperators {

  private static final String NAME = "operator";
  private static final long AGAIN_MS = 500;

  private final OwnershipSystem system;
  private final ConfigurationStore store;
  private final Trace trace;

  SimulatedOperators(OwnershipSystem system, Trace trace) {
    this.system = Assert.notNull(system, "system");
    this.trace = Assert.notNull(trace, "trace");
    this.store = new ConfigurationStore(system.table().from(NAME));
  }

  /** Takes a data centre out, or brings it back. */
  void setOut(String dataCentre, boolean out) {
    String note = dataCentre + (out ? " out" : " back");
    change(note, document -> withOut(document, dataCentre, out));
  }

  private static ConfigurationDocument withOut(
      ConfigurationDocument document, String dataCentre, boolean out) {
    ConfigurationDocument.Builder changed = document.toBuilder().clearDataCentres();
    document.getDataCentresList().stream()
        .filter(labelled -> !labelled.getName().equals(dataCentre))
        .forEach(changed::addDataCentres);
    return changed
        .addDataCentres(LabelledDataCentre.newBuilder().setName(dataCentre).setOut(out))
        .build();
  }

  private void change(String note, UnaryOperator<ConfigurationDocument> edit) {
    store.read().whenComplete((base, failure) -> apply(note, edit, base, failure));
  }

  private void apply(
      String note,
      UnaryOperator<ConfigurationDocument> edit,
      ConfigurationVersion base,
      Throwable failure) {
    if (failure != null) {
      again(note, edit);
      return;
    }
    ConfigurationDocument document = edit.apply(base.getRecord().getDocument());
    ConfigurationChange change =
        new ConfigurationChange(system.nextWriteId(), false, NAME, system.queue().nowMs(), note);
    store
        .apply(document, base.getVersion(), change)
        .whenComplete((accepted, refusal) -> onApplied(note, edit, accepted, refusal));
  }

  private void onApplied(
      String note,
      UnaryOperator<ConfigurationDocument> edit,
      ConfigurationVersion accepted,
      Throwable refusal) {
    if (refusal != null) {
      again(note, edit);
      return;
    }
    long version = accepted.getVersion();
    trace.add(system.queue().nowMs(), "operators: %s accepted as version %d", note, version);
    system.configurations().accepted(version, system.queue().nowMs());
  }

  private void again(String note, UnaryOperator<ConfigurationDocument> edit) {
    trace.add(system.queue().nowMs(), "operators: %s not accepted yet", note);
    system.queue().schedule(AGAIN_MS, () -> change(note, edit));
  }
}
