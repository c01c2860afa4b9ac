package org.foxtailford.testkit.simulation;

import java.util.List;

/**
 * Outcome of one schedule.
 *
 * @param seed seed that gives the same schedule again
 * @param violations what was violated; empty if the schedule passed
 * @param trace what happened, if it was recorded
 */
public record ScheduleResult(long seed, List<String> violations, List<String> trace) {

  /** Tells whether nothing was violated. */
  public boolean passed() {
    return violations.isEmpty();
  }
}
