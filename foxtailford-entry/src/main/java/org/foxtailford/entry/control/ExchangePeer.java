package org.foxtailford.entry.control;

import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * An entry VM as a partner of exchange calls.
 *
 * @param node name of the VM
 * @param dataCentre name of its data centre
 * @param address address at which it listens for peers
 */
public record ExchangePeer(String node, String dataCentre, UpstreamAddress address) {

  /** Checks the fields. */
  public ExchangePeer {
    Assert.hasLength(node, "node");
    Assert.notNull(dataCentre, "dataCentre");
    Assert.notNull(address, "address");
  }
}
