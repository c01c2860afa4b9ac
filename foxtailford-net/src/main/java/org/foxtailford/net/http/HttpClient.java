package org.foxtailford.net.http;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.Endpoint;

/** Sends whole HTTP requests and receives whole answers. */
@FunctionalInterface
public interface HttpClient {

  /**
   * Sends a request.
   *
   * <p>The future fails with a {@link org.foxtailford.core.result.ResultCodeException} whose effect
   * is {@code NOT_RUN} only if no byte of the request left.
   *
   * @param endpoint where to
   * @param exchange the request
   * @param timeoutMs longest time until the whole answer, in milliseconds
   */
  CompletableFuture<HttpAnswer> send(Endpoint endpoint, HttpExchange exchange, long timeoutMs);
}
