package org.foxtailford.core.coldstart;

/**
 * Permission to send one request to an upstream.
 *
 * @param upstream name of the upstream
 * @param bootId start of the upstream that the connection belongs to
 * @param cold whether the upstream counts as cold
 * @param startedMs reading of this VM's clock when it was given
 * @param maxTimeoutMs longest timeout that the request may carry, in milliseconds
 */
public record ColdTicket(
    String upstream, long bootId, boolean cold, long startedMs, long maxTimeoutMs) {}
