package org.foxtailford.testkit.experiment;

import java.util.OptionalDouble;
import java.util.SortedMap;

/**
 * Figures of one service in one phase. Requests belong to the phase in which they were due.
 *
 * @param phase name of the phase
 * @param service name of the service
 * @param requests requests that were due
 * @param answered requests that were answered
 * @param p50Ms median latency of the answered, in milliseconds
 * @param p99Ms 99th percentile of the latency of the answered, in milliseconds
 * @param maxMs longest latency of the answered, in milliseconds
 * @param unavailableKeySeconds unavailable time of all keys together, if the service has keys
 * @param refusals unanswered requests by number of the result code
 */
public record ServiceFigures(
    String phase,
    String service,
    long requests,
    long answered,
    double p50Ms,
    double p99Ms,
    double maxMs,
    OptionalDouble unavailableKeySeconds,
    SortedMap<Integer, Long> refusals) {

  private static final double PERCENT = 100.0;

  /** Returns the share of requests that were answered, in percent; 100 without requests. */
  public double answeredPercent() {
    return requests == 0 ? PERCENT : PERCENT * answered / requests;
  }
}
