package org.foxtailford.core.quota;

/**
 * What a VM asks a holder for.
 *
 * @param tenant name of the tenant
 * @param needed tokens for requests that wait
 * @param expected tokens for requests that are expected soon
 * @param returned unused tokens that the VM gives back
 * @param requests requests since the last call, rejected ones included
 */
public record TokenRequest(String tenant, int needed, int expected, int returned, int requests) {}
