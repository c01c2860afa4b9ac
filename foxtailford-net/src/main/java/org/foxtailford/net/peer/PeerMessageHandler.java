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

/** Receives what peers send. Called on I/O threads; must not block. */
public interface PeerMessageHandler {

  /** Receives a message that needs no answer. */
  void onMessage(PeerIdentity sender, PeerFrame frame);

  /** Answers a relayed request; the future is cancelled if the sender gives it up. */
  CompletableFuture<RelayAnswer> onRelay(PeerIdentity sender, RelayRequest request);

  /** Receives the end of a claim. Must be done on return, before a later claim of the sender. */
  void onClaimEnd(PeerIdentity sender, ClaimEnd end);

  /** Answers a claim on a request id. */
  ClaimAnswer onClaim(PeerIdentity sender, ClaimRequest request);

  /** Answers a request for records of request ids. */
  HandOverPage onHandover(PeerIdentity sender, HandOverRequest request);
}
