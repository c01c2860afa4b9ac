package org.foxtailford.core.quota;

/**
 * What a holder answers to a {@link TokenRequest}.
 *
 * @param tenant name of the tenant
 * @param tokens number of tokens
 * @param ttlMs time from the sending of the request for which they may be used, in milliseconds
 * @param retryAfterMs time until the next token, in milliseconds; 0 if all needed ones are issued
 * @param unknown whether the holder has no valid share, so that the quota may not be used up
 */
public record TokenIssue(
    String tenant, int tokens, long ttlMs, long retryAfterMs, boolean unknown) {}
