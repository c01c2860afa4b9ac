package org.foxtailford.testkit.upstream;

/**
 * How a stand-in upstream behaves.
 *
 * @param name name of its VM
 * @param checksFences whether it rejects requests for slices that it does not hold
 * @param slots requests that it runs at once
 * @param coldSlots requests that it runs at once in a cold start
 * @param coldMs length of a cold start, in milliseconds
 * @param serviceTimeMs time that a request takes, in milliseconds
 */
public record UpstreamProfile(
    String name, boolean checksFences, int slots, int coldSlots, long coldMs, long serviceTimeMs) {}
