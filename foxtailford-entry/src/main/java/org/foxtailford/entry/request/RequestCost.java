package org.foxtailford.entry.request;

import org.foxtailford.core.cost.CostDistribution;
import org.foxtailford.core.cost.RequestClass;

/**
 * Expected cost of a request.
 *
 * @param requestClass class of the request
 * @param expected distribution of the costs of the class
 * @param typical distribution of the costs of the service
 */
record RequestCost(RequestClass requestClass, CostDistribution expected, CostDistribution typical) {

  /** Returns the expected cost; 1 is the average of the service. */
  double relative() {
    return expected.meanMs() / typical.meanMs();
  }
}
