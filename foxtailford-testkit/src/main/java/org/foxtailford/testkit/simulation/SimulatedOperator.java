package org.foxtailford.testkit.simulation;

import java.util.function.UnaryOperator;
import org.foxtailford.core.configuration.ConfigurationChange;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationVersion;

/** An operator who sends a change of the configuration again until it is accepted. */
final class SimulatedOperator extends SimulatedNode {

  private static final long AGAIN_MS = 500;

  private final OwnershipSystem system;
  private final ConfigurationStore store;
  private final Trace trace;

  SimulatedOperator(String name, OwnershipSystem system, Trace trace) {
    super(name);
    this.system = Assert.notNull(system, "system");
    this.trace = Assert.notNull(trace, "trace");
    store = new ConfigurationStore(system.variant().operatorTable(system.table().from(name)));
  }

  /** An edit, and what becomes of it once it is accepted. */
  record Edit(String note, UnaryOperator<ConfigurationDocument> change, Runnable accepted) {}

  /** Reads the configuration and replaces it by an edited one. */
  void apply(Edit edit) {
    store
        .read()
        .whenComplete(
            (base, failure) -> {
              if (failure == null) {
                send(edit, base, newChange(edit));
              } else {
                again(edit, failure);
              }
            });
  }

  private ConfigurationChange newChange(Edit edit) {
    long nowMs = system.queue().nowMs();
    return new ConfigurationChange(system.nextWriteId(), false, name(), nowMs, edit.note());
  }

  private void send(Edit edit, ConfigurationVersion base, ConfigurationChange change) {
    ConfigurationDocument document = edit.change().apply(base.getRecord().getDocument());
    store
        .apply(document, base.getVersion(), change)
        .whenComplete((accepted, failure) -> onApplied(edit, base, change, accepted, failure));
  }

  private void onApplied(
      Edit edit,
      ConfigurationVersion base,
      ConfigurationChange change,
      ConfigurationVersion accepted,
      Throwable failure) {
    if (failure == null) {
      long nowMs = system.queue().nowMs();
      trace.add(nowMs, "%s: %s accepted as %d", name(), edit.note(), accepted.getVersion());
      system.configurations().accepted(accepted.getVersion(), nowMs);
      edit.accepted().run();
    } else if (ResultCodeException.codeOf(failure) == ResultCode.ACCEPTANCE_UNKNOWN) {
      later(() -> send(edit, base, resent(change)));
    } else {
      again(edit, failure);
    }
  }

  private static ConfigurationChange resent(ConfigurationChange change) {
    return new ConfigurationChange(
        change.writeId(), true, change.operator(), change.changedAtMs(), change.note());
  }

  private void again(Edit edit, Throwable failure) {
    ResultCode code = ResultCodeException.codeOf(failure);
    trace.add(system.queue().nowMs(), "%s: %s not accepted: %s", name(), edit.note(), code);
    later(() -> apply(edit));
  }

  private void later(Runnable step) {
    system.queue().schedule(AGAIN_MS, step);
  }

  @Override
  void onLost() {
    // An operator is never lost.
  }

  @Override
  void onStarted() {
    // An operator is never lost.
  }
}
