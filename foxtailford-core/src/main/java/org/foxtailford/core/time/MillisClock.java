package org.foxtailford.core.time;

/**
 * Source of elapsed time in milliseconds.
 *
 * <p>Readings never decrease and are unrelated to the time of day: the difference of two readings
 * is an elapsed time, but a single reading has no meaning to another process.
 */
@FunctionalInterface
public interface MillisClock {

  /** Returns the current reading, in milliseconds. */
  long nowMs();
}
