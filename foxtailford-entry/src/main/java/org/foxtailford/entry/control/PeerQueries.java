package org.foxtailford.entry.control;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.foxtailford.core.event.EventFields;
import org.foxtailford.core.store.CopyAges;
import org.foxtailford.core.upstream.UpstreamAddress;
import org.foxtailford.core.util.Assert;
import org.foxtailford.schema.entry.PeerReply;

/**
 * Asks other entry VMs, one at a time, for what neither the leader nor the store tells this one.
 * Confined to the event loop.
 */
final class PeerQueries {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final PeerClient peers;
  private final PeerRegistry registry;
  private final PeerMessages messages;
  private final LossExchange losses;
  private final UpstreamAddress self;
  private final CopyAges ages;
  private final Executor loop;
  private final Listener listener;
  private boolean inFlight;
  private long nextMs;

  /** Receives the replies. */
  interface Listener {

    /**
     * Called with a reply.
     *
     * @param asOfMs when the query was sent, by the clock of the copies' ages, in milliseconds
     * @param lossesNumber number of the last loss that the query told
     */
    void onReply(PeerReply reply, long asOfMs, long lossesNumber);
  }

  PeerQueries(
      PeerClient peers,
      PeerRegistry registry,
      PeerMessages messages,
      LossExchange losses,
      UpstreamAddress self,
      CopyAges ages,
      Executor loop,
      Listener listener) {
    this.peers = Assert.notNull(peers, "peers");
    this.registry = Assert.notNull(registry, "registry");
    this.messages = Assert.notNull(messages, "messages");
    this.losses = Assert.notNull(losses, "losses");
    this.self = Assert.notNull(self, "self");
    this.ages = Assert.notNull(ages, "ages");
    this.loop = Assert.notNull(loop, "loop");
    this.listener = Assert.notNull(listener, "listener");
  }

  /** Asks any VM, unless an answer is awaited or the last query was sent just now. */
  void query(Optional<KnownLeader> leader, long nowMs) {
    if (inFlight || nowMs < nextMs) {
      return;
    }
    Optional<UpstreamAddress> peer = registry.pickRandom(self);
    if (peer.isEmpty()) {
      return;
    }
    inFlight = true;
    long lossesNumber = losses.lastNumber();
    long asOfMs = ages.nowMs();
    nextMs = nowMs + ControlTiming.PEER_QUERY_MS;
    peers
        .send(peer.get(), messages.report(leader).build(), ControlTiming.PEER_TIMEOUT_MS)
        .whenCompleteAsync(
            (reply, failure) -> {
              inFlight = false;
              if (failure == null) {
                listener.onReply(reply, asOfMs, lossesNumber);
              } else {
                logger
                    .atInfo()
                    .atMostEvery(1, TimeUnit.SECONDS)
                    .with(EventFields.NODE, peer.get().toString())
                    .with(EventFields.REASON, String.valueOf(failure))
                    .log("peer did not answer");
              }
            },
            loop);
  }
}
