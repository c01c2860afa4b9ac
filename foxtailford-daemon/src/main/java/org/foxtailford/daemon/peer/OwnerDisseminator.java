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
 * Applies new versions of the owners to the routing state and forwards them down the dissemination
 * tree.
 *
 * <p>Not thread-safe: all calls run on the control executor.
 */
public final class OwnerDisseminator {

  /** Versions kept to send a peer the difference instead of a whole checkpoint. */
  private static final int HISTORY_VERSIONS = 64;

  private final PeerIdentity self;
  private final MembershipTracker tracker;
  private final PeerMessenger peers;
  private final RoutingState state;
  private final RouterMetrics metrics;
  private final OwnershipFeed feed;

  /**
   * Creates a disseminator without owners.
   *
   * @param self identity of this process
   * @param tracker members that form the dissemination tree
   * @param peers sends messages
   * @param state routing state that receives accepted owners
   * @param metrics counts accepted versions
   */
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

  /** Returns the version of the owners that this VM routes by. */
  public Fence version() {
    return feed.current().version();
  }

  /** Applies and forwards a version created by this VM as leader or loaded from the store. */
  public void publish(OwnershipCheckpoint checkpoint) {
    Fence before = version();
    forwardIfAccepted(feed.accept(checkpoint), before);
  }

  /**
   * Applies and forwards a version that another entry VM sent.
   *
   * @return whether the message carries owners, also if their version is not accepted
   */
  public boolean onFrame(PeerFrame frame) {
    Fence before = version();
    if (frame.hasOwnership()) {
      forwardIfAccepted(feed.accept(frame.getOwnership()), before);
    } else if (frame.hasOwnershipDelta()) {
      forwardIfAccepted(feed.accept(frame.getOwnershipDelta()), before);
    } else {
      return false;
    }
    return true;
  }

  /**
   * Returns the message that brings a VM up to date.
   *
   * @param known version that the VM holds
   * @return the message, or empty if the VM needs none
   */
  public Optional<PeerFrame> updateFor(Fence known) {
    return feed.messageFor(known);
  }

  private void forwardIfAccepted(boolean accepted, Fence before) {
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
