package org.foxtailford.daemon.peer;

import org.foxtailford.net.peer.PeerIdentity;
import org.foxtailford.schema.PeerFrame;

/** Takes messages of one kind from other entry VMs, on the control executor. */
@FunctionalInterface
public interface PeerFrameHandler {

  /**
   * Receives a message.
   *
   * @param sender process that sent it
   * @param frame the message
   * @return whether it is of this handler's kind
   */
  boolean onFrame(PeerIdentity sender, PeerFrame frame);
}
