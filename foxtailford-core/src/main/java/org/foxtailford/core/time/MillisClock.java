package org.foxtailford.core.time;

/**
 * Source of elapsed time in milliseconds.
 *
 * <p>Readings never go backwards and have no relation to the time of day, so two readings may be
 * subtracted but a reading means nothing to another process.
 */
@FunctionalInterface
public interface MillisClock {

  /** Returns the current reading, in milliseconds. */
  long nowMs();
}
