package org.foxtailford.core.route;

import org.foxtailford.core.util.Assert;

/**
 * Settings of a service, as configured by operators.
 *
 * @param name name of the service
 * @param healthPath path of the upstreams' health check
 * @param maxConnections maximum number of connections that one upstream accepts from all callers
 *     together
 * @param warmupMs time for which an upstream is cold after its start, in milliseconds
 * @param coldRequestsPerSecond request rate that a cold upstream can serve
 * @param keyed whether each upstream serves only the keys that it owns
 * @param keyWarmupMs time for which keys acquired without a handover are slow, in milliseconds
 */
public record ServicePolicy(
    String name,
    String healthPath,
    int maxConnections,
    long warmupMs,
    double coldRequestsPerSecond,
    boolean keyed,
    long keyWarmupMs) {

  /** Validates the fields. */
  public ServicePolicy {
    Assert.hasLength(name, "name");
    Assert.hasLength(healthPath, "healthPath");
    Assert.isTrue(maxConnections > 0, "maxConnections must be positive");
    Assert.isTrue(warmupMs >= 0, "warmupMs must not be negative");
    Assert.isTrue(coldRequestsPerSecond >= 0, "coldRequestsPerSecond must not be negative");
  }
}
