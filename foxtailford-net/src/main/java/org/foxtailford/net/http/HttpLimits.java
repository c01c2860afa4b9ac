package org.foxtailford.net.http;

/**
 * Largest messages that are accepted.
 *
 * @param maxHeaderBytes largest head, in bytes
 * @param maxBodyBytes largest body, in bytes
 */
public record HttpLimits(int maxHeaderBytes, int maxBodyBytes) {}
