package org.foxtailford.benchmarks.requests;

import java.util.concurrent.CompletableFuture;

/** How one entry VM serves requests. */
@FunctionalInterface
interface RequestPolicy {

  /**
   * Serves a request.
   *
   * @param pool service
   * @return whether it was answered by an upstream
   */
  CompletableFuture<Boolean> serve(CustomerSize.Pool pool);
}
