package org.foxtailford.entry.control;

import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * Which entry VM this is.
 *
 * @param node name
 * @param incarnation start of the process, as Unix milliseconds
 * @param dataCentre data centre
 * @param address where it listens for peers
 * @param processorShare processor that it has, in cores
 * @param linkMbps bandwidth of its link, in Mbit/s
 */
public record EntryIdentity(
    String node,
    long incarnation,
    String dataCentre,
    UpstreamAddress address,
    double processorShare,
    double linkMbps) {

  /** Checks the fields. */
  public EntryIdentity {
    Assert.hasLength(node, "node");
    Assert.hasLength(dataCentre, "dataCentre");
    Assert.notNull(address, "address");
    Assert.isTrue(processorShare > 0, "processorShare must be positive");
    Assert.isTrue(linkMbps > 0, "linkMbps must be positive");
  }
}
