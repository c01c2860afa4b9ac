package org.foxtailford.testkit.scenario;

/**
 * Requests that callers send at a steady rate.
 *
 * @param perSecond requests a second
 * @param idempotent whether running one twice has the effect of running it once
 * @param keyed whether they have keys
 * @param sentAgain whether callers send a request again, through another entry VM, that has no
 *     answer
 */
public record ScenarioLoad(int perSecond, boolean idempotent, boolean keyed, boolean sentAgain) {}
