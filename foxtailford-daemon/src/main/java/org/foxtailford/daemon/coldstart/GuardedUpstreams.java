package org.foxtailford.daemon.coldstart;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.foxtailford.core.coldstart.ColdStartLimits;
import org.foxtailford.core.coldstart.GateTiming;
import org.foxtailford.core.configuration.ConfigurationView;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.Endpoint;
import org.foxtailford.schema.ServiceDefinition;

/**
 * Resolves from the current configuration the upstreams that have a cold start and their limits. An
 * upstream of several services gets the strictest of their limits. Thread-safe.
 *
 * <p>The result is cached until the configuration changes.
 */
public final class GuardedUpstreams {

  private final Supplier<ConfigurationView> configurations;
  private volatile Resolved resolved = Resolved.of(ConfigurationView.empty());

  /**
   * Creates a lookup that follows the current configuration.
   *
   * @param configurations supplies the current configuration
   */
  public GuardedUpstreams(Supplier<ConfigurationView> configurations) {
    this.configurations = Assert.notNull(configurations, "configurations");
  }

  private record Resolved(
      ConfigurationView view,
      Map<String, ColdStartLimits> limits,
      Map<Endpoint, String> names,
      List<Upstream> upstreams) {

    static Resolved of(ConfigurationView view) {
      Map<String, ColdStartLimits> limits = new HashMap<>();
      for (ServiceDefinition definition : view.document().getServicesList()) {
        if (definition.getColdSlots() > 0) {
          ServiceView service = view.findService(definition.getName()).orElseThrow();
          ColdStartLimits serviceLimits = limitsOf(definition);
          service
              .upstreams()
              .forEach(u -> limits.merge(u.name(), serviceLimits, ColdStartLimits::strictest));
        }
      }
      Map<Endpoint, String> names = new HashMap<>();
      view.upstreams().forEach(upstream -> names.put(upstream.address(), upstream.name()));
      List<Upstream> guarded =
          view.upstreams().stream().filter(u -> limits.containsKey(u.name())).toList();
      return new Resolved(view, limits, names, guarded);
    }

    private static ColdStartLimits limitsOf(ServiceDefinition definition) {
      long timeoutMs = Math.min(definition.getColdTimeoutMs(), GateTiming.MAX_REQUEST_TIMEOUT_MS);
      return new ColdStartLimits(
          definition.getColdSlots(), definition.getWarmUpMs(), Math.max(1, timeoutMs));
    }
  }

  private Resolved resolved() {
    Resolved current = resolved;
    ConfigurationView view = configurations.get();
    if (current.view() != view) {
      current = Resolved.of(view);
      resolved = current;
    }
    return current;
  }

  /** Returns the limits of an upstream, or empty if it has no cold start. */
  public Optional<ColdStartLimits> findLimits(String upstream) {
    return Optional.ofNullable(resolved().limits().get(upstream));
  }

  /** Returns the name of the upstream at an address, or empty if none is configured there. */
  public Optional<String> findNameAt(Endpoint address) {
    return Optional.ofNullable(resolved().names().get(address));
  }

  /** Returns the upstreams that have a cold start. */
  public List<Upstream> all() {
    return resolved().upstreams();
  }

  /** Returns the names of the upstreams in a data centre that have a cold start. */
  public List<String> namesIn(String dataCentre) {
    return all().stream()
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .map(Upstream::name)
        .toList();
  }
}
