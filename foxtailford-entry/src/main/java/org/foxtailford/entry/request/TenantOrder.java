package org.foxtailford.entry.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.overload.TenantShares;
import org.foxtailford.core.overload.WaitingRequestComparator;
import org.foxtailford.core.overload.WeightedTenant;

/**
 * Orders waiting requests by the shares of their tenants in each service. Without tenants in the
 * configuration it keeps no state. Confined to the event loop.
 */
final class TenantOrder {

  /** Work of a request: the same for all, as long as their costs are not known. */
  private static final double WORK = 1;

  private final Map<String, TenantShares> sharesByService = new HashMap<>();

  /** Records that a request is sent, also for a retry. */
  void recordSend(RequestCall call, long nowMs) {
    Optional<WeightedTenant> tenant = call.terms().tenant();
    if (tenant.isPresent()) {
      sharesByService
          .computeIfAbsent(call.service().name(), name -> new TenantShares())
          .recordSend(tenant.get(), WORK, nowMs);
    }
  }

  /**
   * Returns the order of a service's waiting requests. It changes with the next request that is
   * sent.
   *
   * @param workMs typical service time of a request, in milliseconds
   */
  WaitingRequestComparator order(String service, long nowMs, long workMs) {
    TenantShares shares = sharesByService.get(service);
    return shares == null
        ? new WaitingRequestComparator(nowMs, workMs)
        : new WaitingRequestComparator(nowMs, workMs, shares::level);
  }

  /** Returns whether more was sent for a request's tenant than its share. */
  boolean isOverShare(RequestCall call) {
    TenantShares shares = sharesByService.get(call.service().name());
    return shares != null && call.terms().tenant().map(shares::level).orElse(0) > 0;
  }
}
