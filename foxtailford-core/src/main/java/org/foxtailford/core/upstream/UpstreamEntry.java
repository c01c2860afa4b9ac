package org.foxtailford.core.upstream;

import org.foxtailford.core.util.Assert;

/**
 * Registration of an upstream.
 *
 * @param id id of the upstream
 * @param bornMs start time of its process, in Unix milliseconds; identifies the incarnation
 * @param service name of the service that it provides
 * @param address address at which it listens
 * @param dataCentre data centre in which it runs
 * @param slots number of requests that it processes concurrently
 * @param draining whether it is about to leave
 * @param coldLeftMs remaining time for which it is cold, in milliseconds
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

  /** Validates the fields. */
  public UpstreamEntry {
    Assert.hasLength(id, "id");
    Assert.hasLength(service, "service");
    Assert.notNull(address, "address");
    Assert.notNull(dataCentre, "dataCentre");
    Assert.isTrue(slots > 0, "slots must be positive");
    Assert.isTrue(coldLeftMs >= 0, "coldLeftMs must not be negative");
  }

  /** Returns whether both entries describe the same incarnation of the same upstream. */
  public boolean isSameIncarnation(UpstreamEntry other) {
    return id.equals(other.id) && bornMs == other.bornMs;
  }

  /** Returns a name that no other incarnation of an upstream has. */
  public String incarnation() {
    return id + "/" + bornMs;
  }
}
