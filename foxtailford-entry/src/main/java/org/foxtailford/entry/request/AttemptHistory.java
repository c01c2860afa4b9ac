package org.foxtailford.entry.request;

import java.util.HashSet;
import java.util.Set;
import org.foxtailford.net.proxy.UsedConnections;

/** What a request's attempts so far have used and reached. Confined to the event loop. */
final class AttemptHistory {

  private final Set<String> triedUpstreams = new HashSet<>();
  private final Set<String> triedPeers = new HashSet<>();
  private final UsedConnections usedConnections = new UsedConnections();
  private int sends;
  private long lastSendMs;
  private int cutOffPeers;
  private int deliveries;
  private boolean reached;

  /**
   * Creates the history of a request before its first attempt.
   *
   * @param deliveries number of upstreams that it may have reached through other entry VMs
   */
  AttemptHistory(int deliveries) {
    this.deliveries = deliveries;
  }

  /** Records that an attempt at an upstream begins. */
  void recordSend(String upstream, long nowMs) {
    triedUpstreams.add(upstream);
    recordSend(nowMs);
  }

  /** Records that an attempt at another entry VM begins. */
  void recordRelay(String peer, long nowMs) {
    triedPeers.add(peer);
    recordSend(nowMs);
  }

  private void recordSend(long nowMs) {
    sends++;
    lastSendMs = nowMs;
  }

  /** Returns the number of attempts. */
  int sends() {
    return sends;
  }

  /** Returns the time since the last attempt began, in milliseconds; -1 if there was none. */
  long sinceSendMs(long nowMs) {
    return sends == 0 ? -1 : nowMs - lastSendMs;
  }

  /** Returns the ids of the upstreams of the attempts. */
  Set<String> triedUpstreams() {
    return triedUpstreams;
  }

  /** Returns the names of the peers that this VM has asked to serve the request. */
  Set<String> triedPeers() {
    return triedPeers;
  }

  UsedConnections usedConnections() {
    return usedConnections;
  }

  /** Records that a peer refused the request as it reaches no upstream. */
  void recordCutOffPeer() {
    cutOffPeers++;
  }

  /** Returns the number of peers that refused the request as they reach no upstream. */
  int cutOffPeers() {
    return cutOffPeers;
  }

  /** Records that an upstream has received the request, from this VM or a peer. */
  void recordReached() {
    reached = true;
  }

  /** Returns whether an upstream has received the request, so that sending it again is a retry. */
  boolean isReached() {
    return reached;
  }

  /** Returns the number of attempts whose request may have reached an upstream. */
  int deliveries() {
    return deliveries;
  }

  /**
   * Records upstreams that the request may have reached, or may reach through a peer.
   *
   * @param count their number; negative to take back what the peer certainly did not use
   */
  void recordDeliveries(int count) {
    deliveries += count;
  }
}
