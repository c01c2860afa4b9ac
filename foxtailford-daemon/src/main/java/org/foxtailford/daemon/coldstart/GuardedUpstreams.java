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
 * Upstreams that have a cold start by the configuration in force, with their limits. An upstream of
 * several services has the strictest of their limits. Thread-safe.
 */
public final class GuardedUpstreams {

  private final Supplier<ConfigurationView> configurations;
  private volatile Resolved resolved = Resolved.of(ConfigurationView.empty());

  /**
   * Creates the upstreams.
   *
   * @param configurations gives the configuration in force
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
          ColdStartLimits own = limitsOf(definition);
          service.upstreams().forEach(u -> limits.merge(u.name(), own, ColdStartLimits::strictest));
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

  /** Returns the limits of an upstream; empty if it has no cold start. */
  public Optional<ColdStartLimits> limits(String upstream) {
    return Optional.ofNullable(resolved().limits().get(upstream));
  }

  /** Returns the name of the upstream at an address. */
  public Optional<String> nameAt(Endpoint address) {
    return Optional.ofNullable(resolved().names().get(address));
  }

  /** Returns the upstreams that have a cold start. */
  public List<Upstream> all() {
    return resolved().upstreams();
  }

  /** Returns the names of those of a data centre. */
  public List<String> namesIn(String dataCentre) {
    return all().stream()
        .filter(upstream -> upstream.dataCentre().equals(dataCentre))
        .map(Upstream::name)
        .toList();
  }
}
