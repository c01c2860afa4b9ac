package org.foxtailford.entry.request;

import org.foxtailford.core.upstream.RelayPeer;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.proxy.UpstreamPool;

/** Connections to another entry VM, and what is known of its fitness. Confined to the loop. */
final class PeerHandle {

  private final EntryPeer peer;
  private final UpstreamPool pool;
  private final RelayPeer fitness = new RelayPeer();

  PeerHandle(EntryPeer peer, UpstreamPool pool) {
    this.peer = Assert.notNull(peer, "peer");
    this.pool = Assert.notNull(pool, "pool");
  }

  EntryPeer peer() {
    return peer;
  }

  UpstreamPool pool() {
    return pool;
  }

  RelayPeer fitness() {
    return fitness;
  }
}
