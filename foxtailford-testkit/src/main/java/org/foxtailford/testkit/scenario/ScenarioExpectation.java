package org.foxtailford.testkit.scenario;

/**
 * Something that must hold in a run.
 *
 * @param kind what must hold
 * @param limit bound: milliseconds for {@link Kind#SERVED_AGAIN}, percent for {@link Kind#ANSWERED}
 * @param fromMs reading from which it counts, from the start of the run, in milliseconds
 */
public record ScenarioExpectation(Kind kind, long limit, long fromMs) {

  /** What can be expected. */
  public enum Kind {
    /** No key ever has two owners. */
    ONE_OWNER,
    /** At the end every key has an owner. */
    ALL_OWNED,
    /** Every key has an owner again within the limit. */
    SERVED_AGAIN,
    /** At least the given share of the requests was answered. */
    ANSWERED,
    /** No request that is not idempotent ran twice. */
    NO_DOUBLE_RUN,
    /** No request that was said not to have run did run. */
    NO_FALSE_NOT_RUN
  }
}
