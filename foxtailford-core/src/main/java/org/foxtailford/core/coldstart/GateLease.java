package org.foxtailford.core.coldstart;

import java.util.Set;

/**
 * The gates that a data-centre leader leased to one entry VM.
 *
 * @param holder to whom
 * @param upstreams upstreams whose gates it holds
 * @param asOfMs reading of the holder's clock when it asked; the lease counts from there
 * @param ttlMs time to live, in milliseconds
 */
public record GateLease(VmIncarnation holder, Set<String> upstreams, long asOfMs, long ttlMs) {}
