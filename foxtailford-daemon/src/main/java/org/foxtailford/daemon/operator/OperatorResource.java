package org.foxtailford.daemon.operator;

import java.util.concurrent.CompletableFuture;
import org.foxtailford.net.http.HttpAnswer;

/** One resource of the operators' interface. Thread-safe. */
@FunctionalInterface
interface OperatorResource {

  /**
   * Answers a request.
   *
   * @throws org.foxtailford.core.result.ResultCodeException if the request is not valid
   */
  CompletableFuture<HttpAnswer> handle(OperatorRequest request);
}
