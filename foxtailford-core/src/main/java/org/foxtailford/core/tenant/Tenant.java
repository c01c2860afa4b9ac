package org.foxtailford.core.tenant;

import java.util.OptionalInt;
import org.foxtailford.core.util.Assert;

/**
 * A tenant on whose behalf callers send requests.
 *
 * @param name name of the tenant; not empty
 * @param priority priority of its requests, which replaces that of the route; 0 is the highest
 * @param ratePerSecond requests per second that it may make over all VMs; 0 for no limit
 * @param burst requests that it may make in addition; 0 for none
 */
public record Tenant(String name, OptionalInt priority, double ratePerSecond, double burst) {

  /** Validates the name, the priority and the limits. */
  public Tenant {
    Assert.hasLength(name, "name");
    Assert.isTrue(priority.orElse(0) >= 0, "priority of tenant " + name + " must not be negative");
    Assert.isTrue(
        ratePerSecond >= 0 && Double.isFinite(ratePerSecond),
        "rate of tenant " + name + " must be a finite number of 0 or more");
    Assert.isTrue(
        burst >= 0 && Double.isFinite(burst),
        "burst of tenant " + name + " must be a finite number of 0 or more");
  }

  /** Returns whether the number of its requests is limited. */
  public boolean hasQuota() {
    return ratePerSecond > 0;
  }
}
