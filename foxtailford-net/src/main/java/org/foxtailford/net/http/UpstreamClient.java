package org.foxtailford.net.http;

import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.schema.Endpoint;

/** Sends requests to upstreams, optionally only to the process with a given boot id. */
@FunctionalInterface
public interface UpstreamClient {

  /**
   * Sends a request.
   *
   * <p>With a boot id, the request is sent only on a connection to the process that returned this
   * id, and {@link FoxtailHeaders#TIMEOUT_MS} is reduced by the time spent waiting for the
   * connection. If there is no such connection, the future fails with {@link
   * org.foxtailford.core.result.ResultCode#UPSTREAM_UNREACHABLE} and no byte of the request is
   * sent.
   *
   * @param endpoint address to send to
   * @param exchange request to send
   * @param bootId boot id that the upstream must have; empty if any process may answer
   * @param timeoutMs maximum time until the answer is complete, in milliseconds
   */
  CompletableFuture<HttpAnswer> send(
      Endpoint endpoint, HttpExchange exchange, OptionalLong bootId, long timeoutMs);
}
