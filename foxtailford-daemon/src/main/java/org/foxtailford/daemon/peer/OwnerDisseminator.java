package org.foxtailford.daemon.peer;

import java.util.List;
import java.util.Optional;
import org.foxtailford.core.dissemination.OwnershipFeed;
import org.foxtailford.core.membership.MembershipTracker;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.ownership.Fence;
import org.foxtailford.core.topology.DisseminationTree;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.control.RoutingState;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.OwnershipCheckpoint;
import org.foxtailford.schema.PeerFrame;

/**
 * Takes new versions of the owners into the routing state and passes them down the dissemination
 * tree.
 *
 * <p>Not thread-safe: all calls run on the control executor.
 */
public final class OwnerDisseminator {

  private static final int HISTORY_VERSIONS = 64;

  private final PeerIdentity self;
  private final MembershipTracker tracker;
  private final PeerMessenger peers;
  private final RoutingState state;
  private final RouterMetrics metrics;
  private final OwnershipFeed feed;

  public OwnerDisseminator(
      PeerIdentity self,
      MembershipTracker tracker,
      PeerMessenger peers,
      RoutingState state,
      RouterMetrics metrics) {
    this.self = Assert.notNull(self, "self");
    this.tracker = Assert.notNull(tracker, "tracker");
    this.peers = Assert.notNull(peers, "peers");
    this.state = Assert.notNull(state, "state");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.feed = new OwnershipFeed(self.dataCentre(), HISTORY_VERSIONS);
  }

  /** Returns the version that this VM routes by. */
  public Fence version() {
    return feed.current().version();
  }

  /** Takes a version that this VM made as leader. */
  public void publish(OwnershipCheckpoint checkpoint) {
    Fence before = version();
    spread(feed.accept(checkpoint), before);
  }

  /**
   * Takes a version that another entry VM sent.
   *
   * @return whether the message was one
   */
  public boolean onFrame(PeerFrame frame) {
    Fence before = version();
    if (frame.hasOwnership()) {
      spread(feed.accept(frame.getOwnership()), before);
    } else if (frame.hasOwnershipDelta()) {
      spread(feed.accept(frame.getOwnershipDelta()), before);
    } else {
      return false;
    }
    return true;
  }

  /** Returns what a VM with an older version lacks. */
  public Optional<PeerFrame> updateFor(Fence known) {
    return feed.messageFor(known);
  }

  private void spread(boolean accepted, Fence before) {
    if (!accepted) {
      return;
    }
    metrics.ownershipUpdate();
    state.acceptOwners(feed.current());
    List<String> children =
        DisseminationTree.of(
                self.dataCentre(),
                tracker.leader(),
                tracker.usableVms(self.dataCentre()),
                DisseminationTree.FAN_OUT)
            .children(self.vm());
    feed.messageFor(before).ifPresent(frame -> children.forEach(child -> peers.send(child, frame)));
  }
}
