package org.foxtailford.core.quota;

/**
 * What a holder reports to the leader about a tenant.
 *
 * @param tenant name of the tenant
 * @param ppm share in parts per million of rate and burst
 * @param demandPerSecond requests a second at the VMs that the holder serves, rejected included
 * @param leftMs time until the share expires, in milliseconds
 */
public record ShareHolding(String tenant, int ppm, double demandPerSecond, long leftMs) {}
