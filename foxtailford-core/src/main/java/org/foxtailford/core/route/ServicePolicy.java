package org.foxtailford.core.route;

import org.foxtailford.core.util.Assert;

/**
 * What the operators state of a service.
 *
 * @param name name of the service
 * @param healthPath path of the upstreams' health answer
 * @param maxConnections most connections that one upstream accepts from all callers together
 * @param warmupMs time for which a started upstream stays cold, in milliseconds
 * @param coldRequestsPerSecond requests a second that a cold upstream bears
 * @param keyed whether each upstream serves only the keys that it owns
 * @param keyWarmupMs time for which keys that came without a hand-over are slow, in milliseconds
 */
public record ServicePolicy(
    String name,
    String healthPath,
    int maxConnections,
    long warmupMs,
    double coldRequestsPerSecond,
    boolean keyed,
    long keyWarmupMs) {

  /** Checks the fields. */
  public ServicePolicy {
    Assert.hasLength(name, "name");
    Assert.hasLength(healthPath, "healthPath");
    Assert.isTrue(maxConnections > 0, "maxConnections must be positive");
    Assert.isTrue(warmupMs >= 0, "warmupMs must not be negative");
    Assert.isTrue(coldRequestsPerSecond >= 0, "coldRequestsPerSecond must not be negative");
  }
}
