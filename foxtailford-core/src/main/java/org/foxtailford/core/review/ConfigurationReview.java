package org.foxtailford.core.review;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.core.route.CallerLimits;
import org.foxtailford.core.route.RouteRule;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.route.ServicePolicy;
import org.foxtailford.core.route.WeightedService;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.core.tenant.TenantDirectory;

/**
 * Finds faults of a configuration that entry VMs can read: entries that no request can match,
 * references to nothing, and limits that contradict each other. Stateless.
 */
public final class ConfigurationReview {

  private ConfigurationReview() {}

  /** Returns the faults, errors first. */
  public static List<Finding> review(RoutingConfiguration configuration) {
    List<Finding> findings = new ArrayList<>();
    Set<String> referenced = new HashSet<>();
    for (RouteRule route : configuration.routes()) {
      reviewRoute(route, configuration, findings);
      route.services().forEach(service -> referenced.add(service.service()));
    }
    for (RouteRule replaced : configuration.replacedRoutes()) {
      findings.add(
          Finding.warning(
              subject(replaced), "never matches: a later route has the same host and prefix"));
    }
    for (ServicePolicy service : configuration.services()) {
      reviewService(service, referenced, findings);
    }
    configuration.tenants().ifPresent(tenants -> reviewTenants(tenants, findings));
    reviewLimits(configuration.limits(), findings);
    findings.sort(Comparator.comparing(Finding::severity).thenComparing(Finding::subject));
    return findings;
  }

  /** Returns the error that a version can't replace the one in force; empty if it can. */
  public static Optional<Finding> reviewVersion(
      RoutingConfiguration configuration, RoutingConfiguration inForce) {
    return configuration.version() > inForce.version()
        ? Optional.empty()
        : Optional.of(
            Finding.error(
                "version " + configuration.version(),
                "is not above version " + inForce.version() + ", which is in force"));
  }

  private static String subject(RouteRule route) {
    return "route " + route.name();
  }

  private static void reviewRoute(
      RouteRule route, RoutingConfiguration configuration, List<Finding> findings) {
    String subject = subject(route);
    if (route.host().contains(":")) {
      findings.add(
          Finding.warning(subject, "never matches: hosts are compared without their port"));
    }
    if (route.prefix().contains("?") || route.prefix().contains("#")) {
      findings.add(
          Finding.warning(subject, "never matches: paths are compared without their query"));
    }
    double totalWeight = 0;
    for (WeightedService service : route.services()) {
      totalWeight += service.weight();
      if (configuration.findService(service.service()).isEmpty()) {
        findings.add(Finding.error(subject, "service " + service.service() + " is not described"));
      }
    }
    if (totalWeight == 0) {
      findings.add(Finding.error(subject, "the weights of its services are all 0"));
    }
    if (route.targetLatencyMs() > route.timeoutMs()) {
      findings.add(
          Finding.warning(
              subject,
              "latency target "
                  + route.targetLatencyMs()
                  + " ms is above the timeout "
                  + route.timeoutMs()
                  + " ms"));
    }
  }

  private static void reviewService(
      ServicePolicy service, Set<String> referenced, List<Finding> findings) {
    String subject = "service " + service.name();
    if (!referenced.contains(service.name())) {
      findings.add(Finding.warning(subject, "gets no requests: no route names it"));
    }
    if (service.warmupMs() > 0 && service.coldRequestsPerSecond() == 0) {
      findings.add(
          Finding.error(subject, "cold upstreams get no requests: their request rate is 0"));
    }
    if (!service.keyed() && service.keyWarmupMs() > 0) {
      findings.add(Finding.warning(subject, "warm-up time of keys has no effect without keys"));
    }
  }

  private static void reviewTenants(TenantDirectory tenants, List<Finding> findings) {
    for (Tenant tenant : tenants.tenants()) {
      String subject = "tenant " + tenant.name();
      if (tenants.keyDigests(tenant.name()).isEmpty()) {
        findings.add(Finding.warning(subject, "sends no requests: it has no API key"));
      }
      if (tenant.burst() > 0 && !tenant.hasQuota()) {
        findings.add(Finding.warning(subject, "burst has no effect: the rate is not limited"));
      }
      if (tenant.hasQuota() && tenant.ratePerSecond() + tenant.burst() < 1) {
        findings.add(
            Finding.warning(subject, "rate and burst together allow less than one request"));
      }
    }
  }

  private static void reviewLimits(CallerLimits limits, List<Finding> findings) {
    if (limits.idleTimeoutMs() < limits.headerTimeoutMs()) {
      findings.add(
          Finding.warning(
              "limits",
              "idle timeout "
                  + limits.idleTimeoutMs()
                  + " ms is below the header timeout "
                  + limits.headerTimeoutMs()
                  + " ms"));
    }
  }
}
