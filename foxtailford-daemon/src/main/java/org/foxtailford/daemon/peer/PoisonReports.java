package org.foxtailford.daemon.peer;

import org.foxtailford.core.poison.PoisonTracker;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.PeerFrame;

/**
 * Applies reports of other entry VMs on poison requests, that is requests during which upstreams
 * were lost. Thread-safe.
 */
public final class PoisonReports implements PeerFrameHandler {

  private final PoisonTracker tracker;

  public PoisonReports(PoisonTracker tracker) {
    this.tracker = Assert.notNull(tracker, "tracker");
  }

  @Override
  public boolean onFrame(PeerIdentity sender, PeerFrame frame) {
    if (!frame.hasPoisonReport()) {
      return false;
    }
    tracker.applyReport(frame.getPoisonReport());
    return true;
  }
}
