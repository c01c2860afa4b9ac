package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.Collection;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.PeerReport;

/**
 * Sends the leader's news to the live entry VMs, or to all known ones if none is live. What doesn't
 * arrive is not sent again: it comes with the receiver's next report. Confined to the event loop.
 */
final class PeerBroadcaster {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerClient peers;
  private final PeerRegistry registry;
  private final UpstreamAddress self;
  private final MillisClock clock;
  private final Executor loop;

  PeerBroadcaster(
      PeerClient peers,
      PeerRegistry registry,
      UpstreamAddress self,
      MillisClock clock,
      Executor loop) {
    this.peers = Assert.notNull(peers, "peers");
    this.registry = Assert.notNull(registry, "registry");
    this.self = Assert.notNull(self, "self");
    this.clock = Assert.notNull(clock, "clock");
    this.loop = Assert.notNull(loop, "loop");
  }

  void send(PeerReport report) {
    for (UpstreamAddress peer : targets()) {
      peers
          .send(peer, report, ControlTiming.PEER_TIMEOUT_MS)
          .whenCompleteAsync((reply, failure) -> onReply(peer, failure), loop);
    }
  }

  private void onReply(UpstreamAddress peer, Throwable failure) {
    if (failure != null) {
      logger
          .atInfo()
          .atMostEvery(1, TimeUnit.SECONDS)
          .with(EventFields.NODE, peer.toString())
          .with(EventFields.REASON, String.valueOf(failure))
          .log("push to peer failed");
    }
  }

  private Collection<UpstreamAddress> targets() {
    Map<String, UpstreamAddress> livePeers = registry.livePeers(clock.nowMs());
    return livePeers.isEmpty() ? registry.allAddresses(self) : livePeers.values();
  }
}
