package org.foxtailford.core.coldstart;

import java.util.Set;

/**
 * A data centre leader's lease of gates to one entry VM.
 *
 * @param holder the entry VM that holds the gates
 * @param upstreams names of the upstreams whose gates it holds
 * @param asOfMs reading of the holder's clock when it requested the lease, from which the lease
 *     runs
 * @param ttlMs time to live, in milliseconds; zero if the leadership has ended
 */
public record GateLease(VmIncarnation holder, Set<String> upstreams, long asOfMs, long ttlMs) {}
