package org.foxtailford.core.upstream;

import org.foxtailford.core.util.Assert;

/**
 * What an upstream states of itself in its registration.
 *
 * @param id id of the upstream
 * @param bornMs start of its process, as Unix milliseconds; another value is another life
 * @param service service that it serves
 * @param address where it listens
 * @param dataCentre data centre that it runs in
 * @param slots requests that it works on at once
 * @param draining whether it is about to leave
 * @param coldLeftMs how much longer it stays cold, in milliseconds
 */
public record UpstreamEntry(
    String id,
    long bornMs,
    String service,
    UpstreamAddress address,
    String dataCentre,
    int slots,
    boolean draining,
    long coldLeftMs) {

  /** Checks the fields. */
  public UpstreamEntry {
    Assert.hasLength(id, "id");
    Assert.hasLength(service, "service");
    Assert.notNull(address, "address");
    Assert.notNull(dataCentre, "dataCentre");
    Assert.isTrue(slots > 0, "slots must be positive");
    Assert.isTrue(coldLeftMs >= 0, "coldLeftMs must not be negative");
  }

  /** Returns whether two entries tell of the same start of the same upstream. */
  public boolean isSameIncarnation(UpstreamEntry other) {
    return id.equals(other.id) && bornMs == other.bornMs;
  }
}
