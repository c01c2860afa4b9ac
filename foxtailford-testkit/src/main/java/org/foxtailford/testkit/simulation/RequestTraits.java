package org.foxtailford.testkit.simulation;

/**
 * What a caller's request is like.
 *
 * @param content its content, the same for each send of it
 * @param idempotent whether running it twice has the effect of running it once
 * @param firstSend whether its caller never sent it before
 * @param poison whether it crashes the upstream that runs it
 */
record RequestTraits(String content, boolean idempotent, boolean firstSend, boolean poison) {}
