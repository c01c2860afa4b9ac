package org.foxtailford.core.overload;

import java.util.Optional;
import org.foxtailford.core.util.Assert;

/**
 * Scheduling attributes of a waiting request. All times are points on the same clock.
 *
 * @param priority priority of the tenant or else of the route; 0 is the highest
 * @param arrivedMs when the request was read, in milliseconds
 * @param targetAtMs when the latency target ends; a later answer is of little use, in milliseconds
 * @param deadlineMs when the caller or the route abandons the request, in milliseconds
 * @param tenant tenant that the request counts for; empty if the configuration has no tenants
 * @param workMs expected service time, in milliseconds; 0 if only that of its service is known
 */
public record WaitingRequest(
    int priority,
    long arrivedMs,
    long targetAtMs,
    long deadlineMs,
    Optional<WeightedTenant> tenant,
    long workMs) {

  /** Creates a request of which only the service time of its service is known. */
  public WaitingRequest(
      int priority,
      long arrivedMs,
      long targetAtMs,
      long deadlineMs,
      Optional<WeightedTenant> tenant) {
    this(priority, arrivedMs, targetAtMs, deadlineMs, tenant, 0);
  }

  /** Validates the priority and the order of the times. */
  public WaitingRequest {
    Assert.isTrue(priority >= 0, "priority must not be negative");
    Assert.isTrue(deadlineMs >= arrivedMs, "deadlineMs must not be before arrivedMs");
    Assert.isTrue(workMs >= 0, "workMs must not be negative");
  }

  /** Returns this request with a given expected service time, in milliseconds. */
  public WaitingRequest withWorkMs(long newWorkMs) {
    return new WaitingRequest(priority, arrivedMs, targetAtMs, deadlineMs, tenant, newWorkMs);
  }

  /** Creates the attributes of a request without a tenant. */
  public WaitingRequest(int priority, long arrivedMs, long targetAtMs, long deadlineMs) {
    this(priority, arrivedMs, targetAtMs, deadlineMs, Optional.empty());
  }
}
