package org.foxtailford.net.http;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;

/** Answers whole HTTP requests. Called on I/O threads; must not block. */
public interface HttpExchangeHandler {

  /**
   * Answers a request.
   *
   * @return the answer; it is cancelled if the caller goes away first. A failure closes the
   *     connection after an error answer.
   */
  CompletableFuture<HttpAnswer> handle(HttpExchange exchange);

  /** Gives the answer to a request that cannot be read. */
  HttpAnswer refuse(ResultCode code, String message);
}
