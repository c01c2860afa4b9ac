package org.foxtailford.core.tenant;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.util.Assert;

/** Immutable lookup of the tenants of a configuration, by API key and by name. */
public final class TenantDirectory {

  private final Map<String, Tenant> byName = new LinkedHashMap<>();
  private final Map<String, Tenant> byKey = new HashMap<>();

  /**
   * Creates a directory.
   *
   * @throws IllegalArgumentException if a tenant is named twice, a key is empty or unprintable, or
   *     two tenants hold the same key; the message identifies the key by its digest
   */
  public TenantDirectory(List<TenantKeys> tenants) {
    for (TenantKeys entry : tenants) {
      Tenant tenant = entry.tenant();
      Assert.isTrue(
          byName.putIfAbsent(tenant.name(), tenant) == null,
          "tenant " + tenant.name() + " is named twice");
      entry.apiKeys().forEach(key -> addKey(key, tenant));
    }
  }

  private void addKey(String key, Tenant tenant) {
    Assert.isTrue(!key.isBlank(), "tenant " + tenant.name() + " has an empty API key");
    if (!ApiKeys.isValid(key)) {
      throw new IllegalArgumentException(
          "tenant "
              + tenant.name()
              + " has an API key with unprintable characters, digest "
              + ApiKeys.digest(key));
    }
    Tenant holder = byKey.putIfAbsent(key, tenant);
    if (holder != null && holder != tenant) {
      throw new IllegalArgumentException(
          "tenants "
              + holder.name()
              + " and "
              + tenant.name()
              + " hold the same API key, digest "
              + ApiKeys.digest(key));
    }
  }

  /** Returns the tenant that holds a key; empty if the key is unknown. */
  public Optional<Tenant> findByKey(String key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns a tenant; empty if there is none of that name. */
  public Optional<Tenant> findByName(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Returns all tenants, in the order of the configuration. */
  public Collection<Tenant> tenants() {
    return Collections.unmodifiableCollection(byName.values());
  }
}
