package org.foxtailford.entry.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.foxtailford.core.quota.QuotaLimit;
import org.foxtailford.core.route.RoutingConfiguration;
import org.foxtailford.core.tenant.Tenant;
import org.foxtailford.core.util.Assert;
import org.jspecify.annotations.Nullable;

/** Limits of the tenants in the configuration in force. Confined to the event loop. */
final class QuotaLimits {

  private final EntryRoutingState state;
  private Map<String, QuotaLimit> limits = Map.of();
  private @Nullable RoutingConfiguration readFrom;

  QuotaLimits(EntryRoutingState state) {
    this.state = Assert.notNull(state, "state");
  }

  /** Returns the limit of a tenant; empty for one without limit or an unknown one. */
  Optional<QuotaLimit> find(String tenant) {
    return Optional.ofNullable(current().get(tenant));
  }

  /** Returns the names of the tenants with a limit. */
  Set<String> tenants() {
    return current().keySet();
  }

  private Map<String, QuotaLimit> current() {
    RoutingConfiguration configuration = state.configuration().orElse(null);
    if (configuration != readFrom) {
      readFrom = configuration;
      limits = new HashMap<>();
      if (configuration != null && configuration.tenants().isPresent()) {
        for (Tenant tenant : configuration.tenants().get().tenants()) {
          if (tenant.hasQuota()) {
            limits.put(tenant.name(), new QuotaLimit(tenant.ratePerSecond(), tenant.burst()));
          }
        }
      }
    }
    return limits;
  }
}
