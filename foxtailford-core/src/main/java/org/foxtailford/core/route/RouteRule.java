package org.foxtailford.core.route;

import java.util.List;
import org.foxtailford.core.util.Assert;

/**
 * Maps the requests of one host and path prefix to services and limits.
 *
 * @param name name of the route
 * @param host host in lower case, without port
 * @param prefix path prefix; begins and ends with a slash
 * @param kind whether the requests may run more than once
 * @param timeoutMs maximum time for which a request is kept waiting, in milliseconds
 * @param targetLatencyMs time within which an answer is of full use, in milliseconds
 * @param priority priority among waiting requests; 0 is the highest
 * @param maxAttempts maximum number of upstreams to which one request may be sent
 * @param services services that share the requests; not empty
 * @param isPublic whether the requests need no API key
 */
public record RouteRule(
    String name,
    String host,
    String prefix,
    RequestKind kind,
    long timeoutMs,
    long targetLatencyMs,
    int priority,
    int maxAttempts,
    List<WeightedService> services,
    boolean isPublic) {

  /** Validates the fields and copies the services. */
  public RouteRule {
    Assert.hasLength(name, "name");
    Assert.hasLength(host, "host");
    Assert.isTrue(
        prefix.startsWith("/") && prefix.endsWith("/"), "prefix must begin and end with a slash");
    Assert.notNull(kind, "kind");
    Assert.isTrue(timeoutMs > 0, "timeoutMs must be positive");
    Assert.isTrue(targetLatencyMs > 0, "targetLatencyMs must be positive");
    Assert.isTrue(maxAttempts > 0, "maxAttempts must be positive");
    services = List.copyOf(services);
    Assert.isTrue(!services.isEmpty(), "services must not be empty");
  }
}
