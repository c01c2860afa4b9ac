package org.foxtailford.daemon.operator;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.request.Answers;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;

/** Dispatches each request of the operators' HTTP interface to its resource. Thread-safe. */
public final class OperatorHandler implements HttpExchangeHandler {

  private static final String VERSION_PREFIX = "v1";

  private final boolean certificateRequired;
  private final Map<String, OperatorResource> resources;

  /**
   * Creates the handler.
   *
   * @param context state that the resources report and change
   * @param registry meters that {@code /metrics} exports
   */
  public OperatorHandler(OperatorContext context, PrometheusMeterRegistry registry) {
    Assert.notNull(context, "context");
    certificateRequired = context.certificateRequired();
    HealthResources health = new HealthResources(context, registry);
    InventoryResources inventory = new InventoryResources(context);
    RoutingResources routing = new RoutingResources(context);
    resources =
        Map.ofEntries(
            Map.entry("live", health::live),
            Map.entry("ready", health::ready),
            Map.entry("metrics", health::metrics),
            Map.entry("v1/configuration", new ConfigurationResource(context)),
            Map.entry("v1/history", new HistoryResource(context)),
            Map.entry("v1/status", new StatusResource(context)),
            Map.entry("v1/data-centres", inventory::dataCentres),
            Map.entry("v1/vms", inventory::vms),
            Map.entry("v1/upstreams", inventory::upstreams),
            Map.entry("v1/slices", inventory::slices),
            Map.entry("v1/owner", routing::owner),
            Map.entry("v1/why", routing::explain));
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    try {
      OperatorRequest request = OperatorRequest.of(exchange);
      return requireResource(request).handle(request).exceptionally(JsonAnswers::failed);
    } catch (ResultCodeException e) {
      return CompletableFuture.completedFuture(JsonAnswers.failed(e));
    } catch (IllegalArgumentException e) {
      return CompletableFuture.completedFuture(
          refuse(ResultCode.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
    }
  }

  private OperatorResource requireResource(OperatorRequest request) {
    String name = request.segments().get(0);
    if (name.equals(VERSION_PREFIX) && certificateRequired && !request.hasCertificate()) {
      throw new ResultCodeException(
          ResultCode.CERTIFICATE_REQUIRED, "come with a certificate of an accepted authority");
    }
    if (name.equals(VERSION_PREFIX) && request.segments().size() > 1) {
      name += "/" + request.segments().get(1);
    }
    OperatorResource resource = resources.get(name);
    if (resource == null) {
      throw new ResultCodeException(ResultCode.UNKNOWN_RESOURCE, "no resource " + request.path());
    }
    return resource;
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return Answers.of(code, message);
  }
}
