package org.foxtailford.daemon.request;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;

/** Intercepts each attempt at an upstream and may refuse it. Implementations are thread-safe. */
@FunctionalInterface
public interface AttemptGuard {

  /**
   * Runs one attempt at an upstream, or refuses it.
   *
   * @param exchange the request
   * @param attributes attributes of the request
   * @param idempotent whether the kind of the request is idempotent
   * @param upstream name of the upstream
   * @param attempt sends the request; called at most once
   * @return the answer; completes exceptionally with a result code if there is none. Cancelling it
   *     cancels the attempt.
   */
  CompletableFuture<HttpAnswer> run(
      HttpExchange exchange,
      RequestAttributes attributes,
      boolean idempotent,
      String upstream,
      Supplier<CompletableFuture<HttpAnswer>> attempt);
}
