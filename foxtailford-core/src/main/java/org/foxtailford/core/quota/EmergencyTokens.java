package org.foxtailford.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.foxtailford.core.util.Assert;

/**
 * Tokens that a VM may use while no holder answers it. Addresses a data centre whose holder is lost
 * or cut off: a small part of the quota is divided among all VMs, so that all of them together stay
 * within the bound, whichever use it. Confined to one thread.
 */
public final class EmergencyTokens {

  private final QuotaTerms terms;
  private final Map<String, Deque<Long>> usedMsByTenant = new HashMap<>();

  /** Creates tokens of which none is used. */
  public EmergencyTokens(QuotaTerms terms) {
    this.terms = Assert.notNull(terms, "terms");
  }

  /**
   * Takes a token if one is left in the present window.
   *
   * @param vms number of entry VMs among which the tokens are divided; 0 if it is unknown, in which
   *     case there are none
   */
  public boolean tryTake(String tenant, QuotaLimit limit, int vms, long nowMs) {
    if (vms <= 0) {
      return false;
    }
    Deque<Long> usedMs = usedMsByTenant.computeIfAbsent(tenant, name -> new ArrayDeque<>());
    while (!usedMs.isEmpty() && nowMs - usedMs.peekFirst() > terms.windowMs()) {
      usedMs.removeFirst();
    }
    if (usedMs.size() >= (int) (terms.emergencyTokens(limit) / vms)) {
      return false;
    }
    usedMs.addLast(nowMs);
    return true;
  }

  /** Forgets tenants without use in the present window. */
  public void forgetIdle(long nowMs) {
    usedMsByTenant
        .values()
        .removeIf(usedMs -> usedMs.isEmpty() || nowMs - usedMs.peekLast() > terms.windowMs());
  }
}
