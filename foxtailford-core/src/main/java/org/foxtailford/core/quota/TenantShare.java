package org.foxtailford.core.quota;

/**
 * Share that the leader gives to a holder.
 *
 * @param tenant name of the tenant
 * @param ppm share in parts per million of rate and burst
 * @param ttlMs time from the sending of the holder's report for which it is valid
 */
public record TenantShare(String tenant, int ppm, long ttlMs) {}
