package org.foxtailford.entry.control;

import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * Identity and capacity of this entry VM.
 *
 * @param node name of the VM
 * @param incarnation start time of the process, in Unix milliseconds; differs after a restart
 * @param dataCentre name of the data centre
 * @param address address at which the VM listens for peers
 * @param callersPort port at which the VM serves callers, on the same host
 * @param processorShare available processor capacity, in cores
 * @param linkMbps bandwidth of the network link, in Mbit/s
 * @param firstStart whether the whole system starts for the first time
 */
public record EntryIdentity(
    String node,
    long incarnation,
    String dataCentre,
    UpstreamAddress address,
    int callersPort,
    double processorShare,
    double linkMbps,
    boolean firstStart) {

  /**
   * Creates an identity.
   *
   * @throws IllegalArgumentException if a name is empty or a capacity is not positive
   */
  public EntryIdentity {
    Assert.hasLength(node, "node");
    Assert.hasLength(dataCentre, "dataCentre");
    Assert.notNull(address, "address");
    Assert.isTrue(processorShare > 0, "processorShare must be positive");
    Assert.isTrue(linkMbps > 0, "linkMbps must be positive");
  }
}
