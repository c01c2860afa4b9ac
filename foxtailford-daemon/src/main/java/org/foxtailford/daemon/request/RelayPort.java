package org.foxtailford.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/** Relays requests to one other entry VM. */
@FunctionalInterface
public interface RelayPort {

  /**
   * Relays a request.
   *
   * @param request request to relay
   * @param timeoutMs time left before the deadline of the request, in milliseconds
   * @return the answer; completes exceptionally with a result code if there is none. Cancelling it
   *     cancels the request at the other VM.
   */
  CompletableFuture<RelayAnswer> relay(RelayRequest request, long timeoutMs);
}
