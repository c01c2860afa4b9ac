package org.foxtailford.net.peer;

import org.foxtailford.schema.PeerHello;

/**
 * Identity of an entry VM process, as exchanged in the hello of a link.
 *
 * @param systemId name of the system that it belongs to
 * @param vm name of the VM
 * @param dataCentre name of its data centre
 * @param bootId number that distinguishes the process from earlier ones on the VM
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
