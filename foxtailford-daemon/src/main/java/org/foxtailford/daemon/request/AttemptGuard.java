package org.foxtailford.daemon.request;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;

/** Stands before each attempt at an upstream and may refuse it. */
@FunctionalInterface
public interface AttemptGuard {

  /**
   * Runs one attempt at an upstream if nothing speaks against it.
   *
   * @param exchange the request
   * @param attributes its attributes
   * @param idempotent whether its kind is idempotent
   * @param upstream name of the upstream
   * @param attempt sends it; called at most once
   * @return the answer; fails with a result code otherwise. To cancel it cancels the attempt.
   */
  CompletableFuture<HttpAnswer> run(
      HttpExchange exchange,
      RequestAttributes attributes,
      boolean idempotent,
      String upstream,
      Supplier<CompletableFuture<HttpAnswer>> attempt);
}
