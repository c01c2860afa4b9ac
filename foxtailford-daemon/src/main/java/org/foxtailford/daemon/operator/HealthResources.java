package org.foxtailford.daemon.operator;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.request.Answers;
import org.foxtailford.net.http.HttpAnswer;

/** Reports liveness, readiness and metrics; needs no client certificate. Thread-safe. */
final class HealthResources {

  private static final String METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private final OperatorContext context;
  private final PrometheusMeterRegistry registry;

  HealthResources(OperatorContext context, PrometheusMeterRegistry registry) {
    this.context = Assert.notNull(context, "context");
    this.registry = Assert.notNull(registry, "registry");
  }

  CompletableFuture<HttpAnswer> live(OperatorRequest request) {
    return textAnswer("text/plain", "live\n");
  }

  CompletableFuture<HttpAnswer> ready(OperatorRequest request) {
    if (!context.accepting().getAsBoolean()) {
      return refuse(ResultCode.STOPPING, "this VM is stopping");
    }
    if (!context.snapshots().get().isReady()) {
      return refuse(ResultCode.NOT_READY, "no configuration yet");
    }
    return textAnswer("text/plain", "ready\n");
  }

  CompletableFuture<HttpAnswer> metrics(OperatorRequest request) {
    return textAnswer(METRICS_CONTENT_TYPE, registry.scrape());
  }

  private static CompletableFuture<HttpAnswer> textAnswer(String contentType, String body) {
    return CompletableFuture.completedFuture(HttpAnswer.text(200, contentType, body));
  }

  private static CompletableFuture<HttpAnswer> refuse(ResultCode code, String message) {
    return CompletableFuture.completedFuture(Answers.of(code, message));
  }
}
