package org.foxtailford.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;

/** Serves the metrics and, under every other path, the readiness check. */
final class StatusPages implements HttpExchangeHandler {

  private static final String METRICS = "/metrics";
  private static final String TEXT = "text/plain; version=0.0.4; charset=utf-8";

  private final BooleanSupplier readiness;
  private final Supplier<String> metrics;

  StatusPages(BooleanSupplier readiness, Supplier<String> metrics) {
    this.readiness = Assert.notNull(readiness, "readiness");
    this.metrics = Assert.notNull(metrics, "metrics");
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    if (exchange.path().equals(METRICS)) {
      return CompletableFuture.completedFuture(HttpAnswer.text(200, TEXT, metrics.get()));
    }
    boolean isReady = readiness.getAsBoolean();
    return CompletableFuture.completedFuture(
        HttpAnswer.text(isReady ? 200 : 503, TEXT, isReady ? "ready\n" : "not ready\n"));
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return HttpAnswer.text(code.httpStatus(), TEXT, message + "\n");
  }
}
