package org.foxtailford.testkit.simulation;

import java.util.List;

/**
 * What a run of a scenario showed.
 *
 * @param failures expectations that did not hold, each with what was seen
 * @param summary counts of the requests
 * @param trace what happened, in order
 */
public record ScenarioResult(List<String> failures, String summary, List<String> trace) {

  public ScenarioResult {
    failures = List.copyOf(failures);
    trace = List.copyOf(trace);
  }
}
