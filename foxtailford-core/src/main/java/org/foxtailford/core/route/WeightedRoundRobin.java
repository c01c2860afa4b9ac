package org.foxtailford.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Shares the requests of each route among its services in proportion to their weights.
 *
 * <p>The service that lags its share most is next, so that the shares hold over short spans too.
 * Not thread-safe.
 */
public final class WeightedRoundRobin {

  private final Map<String, Map<String, Double>> credits = new HashMap<>();

  /** Returns the service of the next request of a route. */
  public String next(RouteRule route) {
    List<WeightedService> services = route.services();
    if (services.size() == 1) {
      return services.get(0).service();
    }
    Map<String, Double> ofRoute = credits.computeIfAbsent(route.name(), name -> new HashMap<>());
    ofRoute.keySet().removeIf(name -> services.stream().noneMatch(s -> s.service().equals(name)));
    double total = 0;
    for (WeightedService service : services) {
      ofRoute.merge(service.service(), service.weight(), Double::sum);
      total += service.weight();
    }
    String chosen = services.get(0).service();
    for (WeightedService service : services) {
      if (ofRoute.get(service.service()) > ofRoute.get(chosen)) {
        chosen = service.service();
      }
    }
    ofRoute.merge(chosen, -total, Double::sum);
    return chosen;
  }
}
