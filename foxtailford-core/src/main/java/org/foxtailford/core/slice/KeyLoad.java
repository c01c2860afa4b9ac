package org.foxtailford.core.slice;

/**
 * Request rate of one key.
 *
 * @param keyHash hash of the key
 * @param rate requests per second; a lower bound of the actual rate in the measured window
 */
public record KeyLoad(long keyHash, double rate) {}
