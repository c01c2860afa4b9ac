package org.foxtailford.net.http;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.Endpoint;

/** Sends complete HTTP requests and receives complete answers. */
@FunctionalInterface
public interface HttpClient {

  /**
   * Sends a request.
   *
   * <p>The future fails with a {@link org.foxtailford.core.result.ResultCodeException} whose effect
   * is {@code NOT_RUN} only if no byte of the request was sent.
   *
   * @param endpoint address to send to
   * @param exchange request to send
   * @param timeoutMs maximum time until the answer is complete, in milliseconds
   */
  CompletableFuture<HttpAnswer> send(Endpoint endpoint, HttpExchange exchange, long timeoutMs);
}
