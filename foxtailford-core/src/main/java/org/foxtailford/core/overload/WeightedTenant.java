package org.foxtailford.core.overload;

import org.foxtailford.core.util.Assert;

/**
 * A tenant in the division of a service's capacity.
 *
 * @param name name of the tenant; empty for all callers without a known tenant together
 * @param weight its part of the capacity, relative to the other tenants; positive
 */
public record WeightedTenant(String name, double weight) {

  /** Validates the weight. */
  public WeightedTenant {
    Assert.notNull(name, "name");
    Assert.isTrue(weight > 0, "weight must be positive");
  }
}
