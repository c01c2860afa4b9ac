package org.foxtailford.entry.request;

import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;

/**
 * Another entry VM that is live as far as is known.
 *
 * @param node name of the VM
 * @param dataCentre name of its data centre
 * @param callers address at which it serves callers
 */
public record EntryPeer(String node, String dataCentre, UpstreamAddress callers) {

  /** Checks the fields. */
  public EntryPeer {
    Assert.hasLength(node, "node");
    Assert.notNull(dataCentre, "dataCentre");
    Assert.notNull(callers, "callers");
  }
}
