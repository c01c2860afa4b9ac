package org.foxtailford.core.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import org.foxtailford.core.configuration.ServiceView;
import org.foxtailford.core.util.Assert;

/** Load of the upstreams of every service, from what this VM itself sees. Thread-safe. */
public final class ServiceLoads {

  private final IntSupplier entryVms;
  private final Map<LoadKey, ServiceLoad> byService = new ConcurrentHashMap<>();

  /**
   * Creates loads without any requests yet.
   *
   * @param entryVms gives the number of live entry VMs that may send to the same upstreams
   */
  public ServiceLoads(IntSupplier entryVms) {
    this.entryVms = Assert.notNull(entryVms, "entryVms");
  }

  private record LoadKey(String service, int slots) {}

  /** Returns the load of a service. */
  public ServiceLoad of(ServiceView service) {
    LoadKey key =
        new LoadKey(service.definition().getName(), service.definition().getSlotsPerUpstream());
    ServiceLoad known = byService.get(key);
    if (known != null) {
      return known;
    }
    return byService.computeIfAbsent(key, k -> new ServiceLoad(Math.max(1, k.slots()), entryVms));
  }
}
