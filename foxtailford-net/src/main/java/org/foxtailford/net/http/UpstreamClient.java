package org.foxtailford.net.http;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.Endpoint;

/** Sends requests to upstreams, if wanted only to one start of the process at an address. */
@FunctionalInterface
public interface UpstreamClient {

  /**
   * Sends a request.
   *
   * <p>With a boot id, the request goes out only on a connection to the process that gave this id;
   * otherwise the future fails with {@link
   * org.foxtailford.core.result.ResultCode#UPSTREAM_UNREACHABLE}, and no byte of the request left.
   * {@link FoxtailHeaders#TIMEOUT_MS} is then reduced by the wait for the connection.
   *
   * @param endpoint where to
   * @param exchange the request
   * @param bootId boot id that the upstream must have; empty for any
   * @param timeoutMs longest time until the whole answer, in milliseconds
   */
  CompletableFuture<HttpAnswer> send(
      Endpoint endpoint, HttpExchange exchange, OptionalLong bootId, long timeoutMs);
}
