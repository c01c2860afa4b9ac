package org.foxtailford.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.util.Assert;

/** One version of the operators' routes and services; immutable. */
public final class RoutingConfiguration {

  private final long version;
  private final Map<String, Map<String, RouteRule>> routes = new HashMap<>();
  private final Map<String, ServicePolicy> services = new HashMap<>();
  private final CallerLimits limits;

  /** Creates a configuration. */
  public RoutingConfiguration(
      long version, List<RouteRule> routes, List<ServicePolicy> services, CallerLimits limits) {
    this.version = version;
    this.limits = Assert.notNull(limits, "limits");
    for (RouteRule route : routes) {
      this.routes.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
    }
    for (ServicePolicy service : services) {
      this.services.put(service.name(), service);
    }
  }

  /** Returns the version; a higher one is newer. */
  public long version() {
    return version;
  }

  /** Returns the limits for callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the longest time that a route keeps a request waiting, in milliseconds. */
  public long maxTimeoutMs() {
    return routes.values().stream()
        .flatMap(ofHost -> ofHost.values().stream())
        .mapToLong(RouteRule::timeoutMs)
        .max()
        .orElse(0);
  }

  /** Returns all services. */
  public Collection<ServicePolicy> services() {
    return services.values();
  }

  /** Returns what is stated of a service. */
  public Optional<ServicePolicy> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the route with the longest prefix of a path.
   *
   * @param host host field as received, with or without port
   * @param path path without query
   */
  public Optional<RouteRule> findRoute(String host, String path) {
    Map<String, RouteRule> ofHost = routes.get(hostName(host));
    if (ofHost == null) {
      return Optional.empty();
    }
    int slash = path.lastIndexOf('/');
    while (slash >= 0) {
      RouteRule route = ofHost.get(path.substring(0, slash + 1));
      if (route != null) {
        return Optional.of(route);
      }
      slash = slash == 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return Optional.empty();
  }

  private static String hostName(String host) {
    int colon = host.indexOf(':');
    return (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
  }
}
