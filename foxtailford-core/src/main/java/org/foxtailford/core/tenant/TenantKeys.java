package org.foxtailford.core.tenant;

import java.util.List;
import org.foxtailford.core.util.Assert;

/**
 * A tenant with its API keys.
 *
 * @param apiKeys API keys; may be empty
 */
public record TenantKeys(Tenant tenant, List<String> apiKeys) {

  /** Copies the API keys. */
  public TenantKeys {
    Assert.notNull(tenant, "tenant");
    apiKeys = List.copyOf(apiKeys);
  }

  /** Returns only the tenant's name: API keys must not get into logs. */
  @Override
  public String toString() {
    return "TenantKeys[" + tenant.name() + "]";
  }
}
