package org.foxtailford.entry.control;

import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;

/**
 * Clocks of this VM. Their offset changes when the process is paused.
 *
 * @param steady monotonic clock that doesn't advance while the process is paused
 * @param timeOfDay wall clock, which advances while the process is paused
 */
public record ControlClocks(MillisClock steady, MillisClock timeOfDay) {

  /** Creates the clocks, neither of which may be null. */
  public ControlClocks {
    Assert.notNull(steady, "steady");
    Assert.notNull(timeOfDay, "timeOfDay");
  }
}
