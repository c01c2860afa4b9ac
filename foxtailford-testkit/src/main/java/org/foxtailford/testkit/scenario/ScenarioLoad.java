package org.foxtailford.testkit.scenario;

/**
 * Requests that callers send at a steady rate.
 *
 * @param perSecond requests a second
 * @param idempotent whether running one twice has the effect of running it once
 */
public record ScenarioLoad(int perSecond, boolean idempotent) {}
