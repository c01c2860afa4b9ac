package org.foxtailford.daemon.peer;

import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.PeerFrame;

/** Handles messages of certain kinds from other entry VMs, on the control executor. */
@FunctionalInterface
public interface PeerFrameHandler {

  /**
   * Handles a message if it is of this handler's kinds.
   *
   * @param sender process that sent the message
   * @param frame the message
   * @return whether the message was handled; if not, the next handler is tried
   */
  boolean onFrame(PeerIdentity sender, PeerFrame frame);
}
