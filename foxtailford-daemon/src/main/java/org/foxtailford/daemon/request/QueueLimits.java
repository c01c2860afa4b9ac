package org.foxtailford.daemon.request;

import org.foxtailford.core.util.Assert;

/**
 * Limits of the queues in which requests wait for a slot.
 *
 * @param capacity maximum number of requests in one queue; positive
 * @param maxWaitMs maximum wait of a request, in milliseconds; not negative
 */
public record QueueLimits(int capacity, long maxWaitMs) {

  public QueueLimits {
    Assert.isTrue(capacity > 0, "capacity must be positive");
    Assert.isTrue(maxWaitMs >= 0, "maxWaitMs must not be negative");
  }
}
