package org.foxtailford.core.upstream;

import org.foxtailford.core.util.Assert;

/**
 * What an upstream states of its load.
 *
 * @param running requests at work
 * @param waiting requests in its queue
 * @param slots requests that it works on at once
 * @param slowness how long work takes on its machine now, 1 as usual
 */
public record LoadReport(int running, int waiting, int slots, double slowness) {

  /** Checks the fields. */
  public LoadReport {
    Assert.isTrue(running >= 0 && waiting >= 0, "counts must not be negative");
    Assert.isTrue(slots > 0, "slots must be positive");
    Assert.isTrue(slowness > 0, "slowness must be positive");
  }
}
