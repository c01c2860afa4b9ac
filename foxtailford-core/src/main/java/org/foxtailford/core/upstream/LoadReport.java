package org.foxtailford.core.upstream;

import org.foxtailford.core.util.Assert;

/**
 * Load that an upstream reports of itself.
 *
 * @param running number of requests being processed
 * @param waiting number of requests in its queue
 * @param slots number of requests that it processes concurrently
 * @param slowness current service time on its VM relative to the typical one; 1 is typical
 */
public record LoadReport(int running, int waiting, int slots, double slowness) {

  /** Validates the fields. */
  public LoadReport {
    Assert.isTrue(running >= 0 && waiting >= 0, "counts must not be negative");
    Assert.isTrue(slots > 0, "slots must be positive");
    Assert.isTrue(slowness > 0, "slowness must be positive");
  }
}
