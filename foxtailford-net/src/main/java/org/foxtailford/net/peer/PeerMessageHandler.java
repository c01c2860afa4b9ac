package org.foxtailford.net.peer;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/** Receives what peers send. Called on I/O threads; must not block. */
public interface PeerMessageHandler {

  /** Receives a message that needs no answer. */
  void onMessage(PeerIdentity sender, PeerFrame frame);

  /** Answers a relayed request. */
  CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request);
}
