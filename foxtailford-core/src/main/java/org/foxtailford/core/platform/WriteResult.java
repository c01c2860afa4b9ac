package org.foxtailford.core.platform;

/**
 * Result of a conditional write.
 *
 * @param applied whether the write took effect
 * @param version version of the row after the write, or the version that conflicted
 */
public record WriteResult(boolean applied, long version) {}
