package org.foxtailford.core.route;

import org.foxtailford.core.util.Assert;

/**
 * Service of a route with its share of the requests.
 *
 * @param service name of the service
 * @param weight share relative to the route's other services; not negative
 */
public record WeightedService(String service, double weight) {

  /** Validates the fields. */
  public WeightedService {
    Assert.hasLength(service, "service");
    Assert.isTrue(weight >= 0, "weight must not be negative");
  }
}
