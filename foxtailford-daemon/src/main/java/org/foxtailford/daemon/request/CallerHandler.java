package org.foxtailford.daemon.request;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;

/** Classifies callers' HTTP requests and passes them to the request path. Thread-safe. */
public final class CallerHandler implements HttpExchangeHandler {

  private final RequestPath path;
  private final RequestClassifier classifier;
  private final RouterMetrics metrics;
  private final MillisClock clock;
  private volatile boolean closeRequested;

  public CallerHandler(
      RequestPath path, RequestClassifier classifier, RouterMetrics metrics, MillisClock clock) {
    this.path = Assert.notNull(path, "path");
    this.classifier = Assert.notNull(classifier, "classifier");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  /** Adds {@code Connection: close} to every answer from now on. */
  public void requestConnectionClose() {
    closeRequested = true;
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    RequestAttributes attributes;
    try {
      attributes = classifier.classify(exchange, clock.nowMs());
    } catch (ResultCodeException e) {
      return CompletableFuture.completedFuture(refuse(e.code(), String.valueOf(e.getMessage())));
    }
    CompletableFuture<HttpAnswer> served = path.serve(exchange, attributes);
    CompletableFuture<HttpAnswer> answer = served.thenApply(this::withConnectionHeader);
    answer.whenComplete((received, failure) -> served.cancel(false));
    return answer;
  }

  private HttpAnswer withConnectionHeader(HttpAnswer answer) {
    if (closeRequested) {
      answer.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return answer;
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    metrics.refusal(code);
    return Answers.of(code, message);
  }
}
