package org.foxtailford.core.overload;

import org.foxtailford.core.util.Assert;

/**
 * What the order of waiting requests depends on.
 *
 * @param priority rank of the route; 0 is the highest
 * @param arrivedMs when the request was read, in milliseconds
 * @param targetAtMs when its answer loses most of its use, in milliseconds
 * @param deadlineMs when its caller or route gives it up, in milliseconds
 */
public record WaitingRequest(int priority, long arrivedMs, long targetAtMs, long deadlineMs) {

  /** Checks the fields. */
  public WaitingRequest {
    Assert.isTrue(priority >= 0, "priority must not be negative");
    Assert.isTrue(deadlineMs >= arrivedMs, "deadlineMs must not be before arrivedMs");
  }
}
