package org.foxtailford.net.http;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;

/** Handles complete HTTP requests. Called on I/O threads; must not block. */
public interface HttpExchangeHandler {

  /**
   * Handles a request.
   *
   * @return the answer; cancelled if the caller disconnects first. If it fails, the server writes
   *     an error answer and closes the connection.
   */
  CompletableFuture<HttpAnswer> handle(HttpExchange exchange);

  /** Returns the answer to a malformed or oversized request, or to one whose handling failed. */
  HttpAnswer refuse(ResultCode code, String message);
}
