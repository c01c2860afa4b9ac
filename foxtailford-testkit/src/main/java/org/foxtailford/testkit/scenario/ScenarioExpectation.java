package org.foxtailford.testkit.scenario;

/**
 * Something that must hold in a run.
 *
 * @param kind what must hold
 * @param place data centre or upstream that it is about; empty text if it is about the whole system
 * @param limit bound: milliseconds for {@link Kind#SERVED_AGAIN} and {@link Kind#IN_FORCE}, percent
 *     for {@link Kind#ANSWERED} and {@link Kind#ANSWERED_AT_HOME}, a count for {@link Kind#CRASHES}
 * @param fromMs time from which it counts, from the start of the run, in milliseconds
 * @param untilMs time until which it counts, from the start of the run, or the bound of {@link
 *     Kind#ANSWERED_WITHIN}, in milliseconds
 */
public record ScenarioExpectation(Kind kind, String place, long limit, long fromMs, long untilMs) {

  /** Returns an expectation about the whole system and the whole run. */
  static ScenarioExpectation of(Kind kind, long limit) {
    return new ScenarioExpectation(kind, "", limit, 0, Long.MAX_VALUE);
  }

  /** Returns an expectation about the whole system at a time after another. */
  static ScenarioExpectation within(Kind kind, long limitMs, long fromMs) {
    return new ScenarioExpectation(kind, "", limitMs, fromMs, fromMs + limitMs);
  }

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
    /** At least the given share of the requests sent to the home of their keys was answered. */
    ANSWERED_AT_HOME,
    /** At least the given share of the requests was answered within a time. */
    ANSWERED_WITHIN,
    /** At least the given share of the idempotent requests sent home was answered. */
    IDEMPOTENT_ANSWERED_AT_HOME,
    /** Every caller knows whether its request ran. */
    NO_UNKNOWN_OUTCOME,
    /** At most the given number of upstreams is lost to requests that crash them. */
    CRASHES,
    /** No cold upstream runs more at once than it can bear. */
    NO_COLD_OVERLOAD,
    /** Every accepted change of the configuration is in it at the end. */
    NO_LOST_CHANGE,
    /** No request arrives at the place. */
    NO_NEW_WORK,
    /** The configuration accepted last is in force at every entry VM within the limit. */
    IN_FORCE,
    /** No entry VM goes back to an earlier configuration. */
    NO_REVERTED_CONFIGURATION,
    /** No request that is not idempotent ran twice. */
    NO_DOUBLE_RUN,
    /** No request that was said not to have run did run. */
    NO_FALSE_NOT_RUN
  }
}
