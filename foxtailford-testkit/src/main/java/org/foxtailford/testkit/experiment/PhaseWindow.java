package org.foxtailford.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import org.foxtailford.schema.ExperimentPhase;

/**
 * When a phase of an experiment runs.
 *
 * @param name name of the phase
 * @param startMs its start, in milliseconds since the load began
 * @param endMs its end, in milliseconds since the load began
 */
public record PhaseWindow(String name, long startMs, long endMs) {

  /** Returns the windows of phases that follow each other. */
  public static List<PhaseWindow> of(List<ExperimentPhase> phases) {
    List<PhaseWindow> windows = new ArrayList<>();
    long startMs = 0;
    for (ExperimentPhase phase : phases) {
      long endMs = startMs + phase.getDurationMs();
      windows.add(new PhaseWindow(phase.getName(), startMs, endMs));
      startMs = endMs;
    }
    return windows;
  }

  /** Tells whether a time lies in the phase. */
  public boolean contains(long timeMs) {
    return startMs <= timeMs && timeMs < endMs;
  }

  /** Returns the part of an interval that lies in the phase, in milliseconds. */
  public long overlapMs(long fromMs, long toMs) {
    return Math.max(0, Math.min(endMs, toMs) - Math.max(startMs, fromMs));
  }
}
