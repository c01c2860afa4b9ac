package org.foxtailford.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.ExperimentPhase;

/**
 * Gives the operators' orders at the starts of phases and reads the counters of retries there. Runs
 * on one thread.
 */
final class PhaseOrders {

  private final List<ExperimentPhase> phases;
  private final ExperimentFleet fleet;
  private final OperatorClient operators;
  private final Set<String> out = new TreeSet<>();
  private final List<RetryCounts> counts = new ArrayList<>();

  PhaseOrders(List<ExperimentPhase> phases, ExperimentFleet fleet, OperatorClient operators) {
    this.phases = List.copyOf(Assert.notNull(phases, "phases"));
    this.fleet = Assert.notNull(fleet, "fleet");
    this.operators = Assert.notNull(operators, "operators");
  }

  /**
   * Schedules every order.
   *
   * @param timer thread that gives them
   * @param startNanos value of {@link System#nanoTime()} at which the load begins
   * @return completes after the last reading of counters with the retries of each phase
   */
  CompletableFuture<List<PhaseRetries>> schedule(ScheduledExecutorService timer, long startNanos) {
    List<PhaseWindow> windows = PhaseWindow.of(phases);
    CompletableFuture<List<PhaseRetries>> done = new CompletableFuture<>();
    for (int i = 0; i < phases.size(); i++) {
      ExperimentPhase phase = phases.get(i);
      long startMs = windows.get(i).startMs();
      runAt(timer, startNanos, startMs, done, () -> begin(phase));
    }
    long endMs = windows.get(windows.size() - 1).endMs();
    runAt(timer, startNanos, endMs, done, () -> done.complete(finish()));
    return done;
  }

  private static void runAt(
      ScheduledExecutorService timer,
      long startNanos,
      long timeMs,
      CompletableFuture<?> done,
      Runnable step) {
    long delayNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(timeMs) - System.nanoTime();
    CompletableFuture.runAsync(step, task -> timer.schedule(task, delayNanos, TimeUnit.NANOSECONDS))
        .exceptionally(
            failure -> {
              done.completeExceptionally(failure);
              return null;
            });
  }

  private void begin(ExperimentPhase phase) {
    boolean taken = !phase.getTakeOut().isEmpty() && out.add(phase.getTakeOut());
    boolean brought = !phase.getBringIn().isEmpty() && out.remove(phase.getBringIn());
    if (taken || brought) {
      operators.apply(fleet.configuration(out));
    }
    counts.add(operators.retries());
  }

  private List<PhaseRetries> finish() {
    counts.add(operators.retries());
    List<PhaseRetries> retries = new ArrayList<>();
    for (int i = 0; i < phases.size(); i++) {
      retries.add(
          new PhaseRetries(phases.get(i).getName(), counts.get(i + 1).since(counts.get(i))));
    }
    return retries;
  }
}
