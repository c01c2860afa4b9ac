package org.foxtailford.daemon.request;

import org.foxtailford.core.util.Assert;

/**
 * Limits of the queues of requests that wait for a slot.
 *
 * @param capacity most requests in one queue
 * @param timeMs longest wait, in milliseconds
 */
public record QueueLimits(int capacity, long timeMs) {

  public QueueLimits {
    Assert.isTrue(capacity > 0, "capacity must be positive");
    Assert.isTrue(timeMs >= 0, "timeMs must not be negative");
  }
}
