package org.foxtailford.daemon.request;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/** Passes a request to one other entry VM. */
@FunctionalInterface
public interface RelayPort {

  /**
   * Passes a request on.
   *
   * @param request the request
   * @param timeoutMs time left, in milliseconds
   * @return the answer; fails with a result code otherwise; to cancel it gives up the request there
   */
  CompletableFuture<RelayAnswer> relay(RelayRequest request, long timeoutMs);
}
