package org.foxtailford.daemon.operator;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.net.http.HttpAnswer;

/**
 * Handles the requests for one resource of the operators' interface. Implementations are
 * thread-safe.
 */
@FunctionalInterface
interface OperatorResource {

  /**
   * Handles a request and completes with its answer.
   *
   * @throws org.foxtailford.core.result.ResultCodeException if the request is not valid
   */
  CompletableFuture<HttpAnswer> handle(OperatorRequest request);
}
