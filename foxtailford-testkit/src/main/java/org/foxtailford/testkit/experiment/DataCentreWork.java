package org.foxtailford.testkit.experiment;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;

/**
 * When a data centre stopped and began to answer requests after orders of the operators.
 *
 * @param dataCentre its name
 * @param lastAfterOutMs time of its last answer to a request after the order that took it out and
 *     before the one that brought it in, in milliseconds after the former; empty if there was none
 * @param firstAfterInMs time of its first answer after the order that brought it in, in
 *     milliseconds after the order; empty if there was none
 */
public record DataCentreWork(
    String dataCentre, OptionalLong lastAfterOutMs, OptionalLong firstAfterInMs) {

  /**
   * Finds the times.
   *
   * @param dataCentre name of the data centre
   * @param upstreams its upstreams
   * @param outMs when the order was sent that took it out, in milliseconds since the load began
   * @param inMs when the order was sent that brought it in, or the end of the load
   * @param outcomes every outcome
   */
  public static DataCentreWork of(
      String dataCentre,
      Set<String> upstreams,
      long outMs,
      long inMs,
      List<RequestOutcome> outcomes) {
    OptionalLong last =
        endsAt(upstreams, outcomes).filter(endMs -> outMs <= endMs && endMs < inMs).max();
    OptionalLong first = endsAt(upstreams, outcomes).filter(endMs -> inMs <= endMs).min();
    return new DataCentreWork(dataCentre, after(outMs, last), after(inMs, first));
  }

  private static LongStream endsAt(Set<String> upstreams, List<RequestOutcome> outcomes) {
    return outcomes.stream()
        .filter(outcome -> outcome.isAnswered() && upstreams.contains(outcome.upstream()))
        .mapToLong(RequestOutcome::endedMs);
  }

  private static OptionalLong after(long orderMs, OptionalLong timeMs) {
    return timeMs.isEmpty() ? timeMs : OptionalLong.of(timeMs.getAsLong() - orderMs);
  }
}
