package org.foxtailford.entry.request;

import org.foxtailford.core.util.Assert;

/**
 * Name and place of this VM.
 *
 * @param node name of the VM
 * @param dataCentre name of its data centre
 */
public record VmLocation(String node, String dataCentre) {

  /** Checks the names. */
  public VmLocation {
    Assert.hasLength(node, "node");
    Assert.hasLength(dataCentre, "dataCentre");
  }
}
