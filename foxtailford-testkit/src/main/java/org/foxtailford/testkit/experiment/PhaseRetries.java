package org.foxtailford.testkit.experiment;

import java.util.SortedMap;

/**
 * Retries that the entry VMs made in one phase, over all services.
 *
 * @param phase name of the phase
 * @param byReason their number by the name of the result code that caused them
 */
public record PhaseRetries(String phase, SortedMap<String, Long> byReason) {}
