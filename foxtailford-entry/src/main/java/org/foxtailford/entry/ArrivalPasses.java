package org.foxtailford.entry;

import org.foxtailford.core.time.ArrivalClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.tcp.PassListener;

/** Tells an {@link ArrivalClock} of the passes of its event loop. */
record ArrivalPasses(ArrivalClock arrivals) implements PassListener {

  ArrivalPasses {
    Assert.notNull(arrivals, "arrivals");
  }

  @Override
  public void onPassBegin() {
    arrivals.beginPass();
  }

  @Override
  public void onPassEnd(boolean foundNothing) {
    arrivals.endPass(foundNothing);
  }
}
