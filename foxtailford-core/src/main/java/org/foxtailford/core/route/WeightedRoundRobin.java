package org.foxtailford.core.route;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Distributes the requests of each route among its services in proportion to their weights.
 *
 * <p>Implements smooth weighted round robin: the service that is furthest below its share is
 * selected next, so that the shares hold over short sequences too. Not thread-safe.
 */
public final class WeightedRoundRobin {

  private final Map<String, Map<String, Double>> credits = new HashMap<>();

  /** Selects the service for the next request of a route and returns its name. */
  public String next(RouteRule route) {
    List<WeightedService> services = route.services();
    if (services.size() == 1) {
      return services.get(0).service();
    }
    Map<String, Double> routeCredits =
        credits.computeIfAbsent(route.name(), name -> new HashMap<>());
    routeCredits
        .keySet()
        .removeIf(name -> services.stream().noneMatch(s -> s.service().equals(name)));
    double total = 0;
    for (WeightedService service : services) {
      routeCredits.merge(service.service(), service.weight(), Double::sum);
      total += service.weight();
    }
    String chosen = services.get(0).service();
    for (WeightedService service : services) {
      if (routeCredits.get(service.service()) > routeCredits.get(chosen)) {
        chosen = service.service();
      }
    }
    routeCredits.merge(chosen, -total, Double::sum);
    return chosen;
  }
}
