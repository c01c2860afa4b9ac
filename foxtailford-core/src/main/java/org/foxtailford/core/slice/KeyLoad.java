package org.foxtailford.core.slice;

/**
 * Load of one key.
 *
 * @param keyHash hash of the key
 * @param rate requests a second, never above the real rate of the measured window
 */
public record KeyLoad(long keyHash, double rate) {}
