package org.foxtailford.core.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.util.Assert;

/** Registry of the load of every service as observed by this VM. Thread-safe. */
public final class ServiceLoads {

  private final IntSupplier entryVms;
  private final Map<LoadKey, ServiceLoad> byService = new ConcurrentHashMap<>();

  /**
   * Creates a registry without any services.
   *
   * @param entryVms returns the number of live entry VMs that may send to the same upstreams
   */
  public ServiceLoads(IntSupplier entryVms) {
    this.entryVms = Assert.notNull(entryVms, "entryVms");
  }

  private record LoadKey(String service, int slots) {}

  /** Returns the load of a service; starts a new one when its number of slots changes. */
  public ServiceLoad of(ServiceView service) {
    LoadKey key =
        new LoadKey(service.definition().getName(), service.definition().getSlotsPerUpstream());
    ServiceLoad existing = byService.get(key);
    if (existing != null) {
      return existing;
    }
    return byService.computeIfAbsent(key, k -> new ServiceLoad(Math.max(1, k.slots()), entryVms));
  }
}
