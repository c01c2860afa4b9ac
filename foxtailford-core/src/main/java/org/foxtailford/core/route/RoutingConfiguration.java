package org.foxtailford.core.route;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.tenant.TenantDirectory;
import org.foxtailford.core.util.Assert;

/** Immutable version of the routes, services and tenants that operators configure. */
public final class RoutingConfiguration {

  private final long version;
  private final Map<String, Map<String, RouteRule>> routes = new HashMap<>();
  private final Map<String, ServicePolicy> services = new HashMap<>();
  private final CallerLimits limits;
  private final Optional<TenantDirectory> tenants;

  /**
   * Creates a configuration.
   *
   * @param routes routes; a later one replaces an earlier one of the same host and prefix
   * @param services services; a later one replaces an earlier one of the same name
   * @param tenants tenants whose API keys are required; empty if requests need no key
   */
  public RoutingConfiguration(
      long version,
      List<RouteRule> routes,
      List<ServicePolicy> services,
      CallerLimits limits,
      Optional<TenantDirectory> tenants) {
    this.version = version;
    this.limits = Assert.notNull(limits, "limits");
    this.tenants = Assert.notNull(tenants, "tenants");
    for (RouteRule route : routes) {
      this.routes.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.prefix(), route);
    }
    for (ServicePolicy service : services) {
      this.services.put(service.name(), service);
    }
  }

  /** Returns the version; a higher number is newer. */
  public long version() {
    return version;
  }

  /** Returns the limits on callers' requests. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the tenants whose API keys are required; empty if requests need no key. */
  public Optional<TenantDirectory> tenants() {
    return tenants;
  }

  /** Returns the longest timeout of any route, in milliseconds; 0 without routes. */
  public long maxTimeoutMs() {
    return routes.values().stream()
        .flatMap(hostRoutes -> hostRoutes.values().stream())
        .mapToLong(RouteRule::timeoutMs)
        .max()
        .orElse(0);
  }

  /** Returns the policies of all services, in no particular order. */
  public Collection<ServicePolicy> services() {
    return services.values();
  }

  /** Returns the policy of a service; empty if the service is not configured. */
  public Optional<ServicePolicy> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the route of a host with the longest matching path prefix; empty if none matches.
   *
   * @param host host field as received, in any case, with or without port
   * @param path path without query
   */
  public Optional<RouteRule> findRoute(String host, String path) {
    Map<String, RouteRule> hostRoutes = routes.get(hostName(host));
    if (hostRoutes == null) {
      return Optional.empty();
    }
    int slash = path.lastIndexOf('/');
    while (slash >= 0) {
      RouteRule route = hostRoutes.get(path.substring(0, slash + 1));
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
