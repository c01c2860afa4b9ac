package org.foxtailford.net.peer;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.ClaimAnswer;
import org.foxtailford.schema.ClaimEnd;
import org.foxtailford.schema.ClaimRequest;
import org.foxtailford.schema.HandOverPage;
import org.foxtailford.schema.HandOverRequest;
import org.foxtailford.schema.PeerFrame;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/** Handles messages and requests of peers. Called on I/O threads; must not block. */
public interface PeerMessageHandler {

  /** Handles a message that needs no answer. */
  void onMessage(PeerIdentity sender, PeerFrame frame);

  /** Answers a relayed request; the future is cancelled if the sender cancels or disconnects. */
  CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request);

  /** Ends a claim. Must be complete on return, since a later claim of the sender may follow. */
  void onClaimEnd(PeerIdentity sender, ClaimEnd end);

  /** Answers a request for a claim on a request id. */
  ClaimAnswer onClaim(PeerIdentity sender, ClaimRequest request);

  /** Answers a request for a page of records of request ids. */
  HandOverPage onHandover(PeerIdentity sender, HandOverRequest request);
}
