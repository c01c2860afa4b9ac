package org.foxtailford.net.peer;

import org.foxtailford.schema.PeerHello;

/**
 * Who a peer is.
 *
 * @param systemId name of its system
 * @param vm name of its VM
 * @param dataCentre its data centre
 * @param bootId number that tells its process from earlier ones on the VM
 */
public record PeerIdentity(String systemId, String vm, String dataCentre, long bootId) {

  static PeerIdentity of(PeerHello hello) {
    return new PeerIdentity(
        hello.getSystemId(), hello.getVm(), hello.getDataCentre(), hello.getBootId());
  }

  PeerHello toHello() {
    return PeerHello.newBuilder()
        .setSystemId(systemId)
        .setVm(vm)
        .setDataCentre(dataCentre)
        .setBootId(bootId)
        .build();
  }
}
