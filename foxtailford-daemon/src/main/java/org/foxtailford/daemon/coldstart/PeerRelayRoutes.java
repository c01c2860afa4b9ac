package org.foxtailford.daemon.coldstart;

import java.util.Optional;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.peer.PeerNetwork;
import org.foxtailford.daemon.request.RelayPort;
import org.foxtailford.daemon.request.RelayRoutes;

/** Finds relay routes over the links to other entry VMs. Thread-safe. */
public final class PeerRelayRoutes implements RelayRoutes {

  private final PeerNetwork peers;
  private final GateExchange gates;

  /**
   * Creates routes over peer links.
   *
   * @param peers the links to other entry VMs
   * @param gates determines which entry VM should hold the gate of an upstream
   */
  public PeerRelayRoutes(PeerNetwork peers, GateExchange gates) {
    this.peers = Assert.notNull(peers, "peers");
    this.gates = Assert.notNull(gates, "gates");
  }

  @Override
  public Optional<RelayPort> toDataCentre(String dataCentre) {
    return peers.anyIn(dataCentre).map(link -> link::relay);
  }

  @Override
  public Optional<RelayPort> toGateHolder(String upstream) {
    return gates.findHolder(upstream).flatMap(peers::linkTo).map(link -> link::relay);
  }
}
