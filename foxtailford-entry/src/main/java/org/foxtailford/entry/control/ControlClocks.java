package org.foxtailford.entry.control;

import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Clocks of this VM.
 *
 * @param steady clock that never goes back, and stands still with the process
 * @param timeOfDay clock that goes on while the process stands still
 */
public record ControlClocks(MillisClock steady, MillisClock timeOfDay) {

  /** Checks the fields. */
  public ControlClocks {
    Assert.notNull(steady, "steady");
    Assert.notNull(timeOfDay, "timeOfDay");
  }
}
