package org.foxtailford.daemon.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.foxtailford.core.configuration.ConfigurationChange;
import org.foxtailford.core.configuration.ConfigurationChecker;
import org.foxtailford.core.configuration.ConfigurationStore;
import org.foxtailford.core.ownership.KeyHashing;
import org.foxtailford.core.ownership.SliceAssignment;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RoutingSnapshot;
import org.foxtailford.core.util.Assert;
import org.foxtailford.daemon.request.Answers;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.HttpExchangeHandler;
import org.foxtailford.schema.ConfigurationDocument;
import org.foxtailford.schema.ConfigurationVersion;
import org.foxtailford.schema.VmList;

/** The operators' HTTP interface. Thread-safe. */
public final class OperatorHandler implements HttpExchangeHandler {

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final String CONFIGURATION_PATH = "/v1/configuration";
  private static final String OWNER_PREFIX = "/v1/owner/";

  private final String vm;
  private final Supplier<RoutingSnapshot> snapshots;
  private final BooleanSupplier accepting;
  private final BooleanSupplier leads;
  private final PrometheusMeterRegistry registry;
  private final ConfigurationStore configurations;
  private final Supplier<Optional<VmList>> vmLists;
  private final RandomGenerator random;
  private final ConfigurationChecker checker = new ConfigurationChecker();

  /**
   * Creates the handler.
   *
   * @param vm name of this VM
   * @param snapshots gives the state that requests are routed by
   * @param accepting tells whether this VM takes new requests
   * @param leads tells whether this VM leads its data centre
   * @param registry meters
   * @param configurations the stored configuration
   * @param vmLists gives the last VM list
   * @param random source of write ids
   */
  public OperatorHandler(
      String vm,
      Supplier<RoutingSnapshot> snapshots,
      BooleanSupplier accepting,
      BooleanSupplier leads,
      PrometheusMeterRegistry registry,
      ConfigurationStore configurations,
      Supplier<Optional<VmList>> vmLists,
      RandomGenerator random) {
    this.vm = Assert.hasLength(vm, "vm");
    this.snapshots = Assert.notNull(snapshots, "snapshots");
    this.accepting = Assert.notNull(accepting, "accepting");
    this.leads = Assert.notNull(leads, "leads");
    this.registry = Assert.notNull(registry, "registry");
    this.configurations = Assert.notNull(configurations, "configurations");
    this.vmLists = Assert.notNull(vmLists, "vmLists");
    this.random = Assert.notNull(random, "random");
  }

  @Override
  public CompletableFuture<HttpAnswer> handle(HttpExchange exchange) {
    if (exchange.path().equals(CONFIGURATION_PATH)) {
      return CompletableFuture.completedFuture(exchange)
          .thenCompose(this::configuration)
          .exceptionally(this::failed);
    }
    return CompletableFuture.completedFuture(answer(exchange));
  }

  private HttpAnswer failed(Throwable failure) {
    Throwable cause = failure.getCause() == null ? failure : failure.getCause();
    return refuse(ResultCodeException.codeOf(failure), String.valueOf(cause.getMessage()));
  }

  private CompletableFuture<HttpAnswer> configuration(HttpExchange exchange) {
    if (!exchange.method().equals(HttpMethod.PUT)) {
      return configurations.read().thenApply(OperatorHandler::toAnswer);
    }
    String tag = exchange.headers().get(HttpHeaderNames.IF_MATCH, "\"0\"");
    if (!tag.matches("\"[0-9]{1,18}\"")) {
      return CompletableFuture.completedFuture(
          refuse(ResultCode.INVALID_HEADER, "If-Match must be a quoted version"));
    }
    long expectedVersion = Long.parseLong(tag.substring(1, tag.length() - 1));
    String text = new String(exchange.body(), StandardCharsets.UTF_8);
    ConfigurationDocument document =
        checker.check(text, vmLists.get()).requireAcceptable(exchange.uri().contains("force"));
    ConfigurationChange change =
        new ConfigurationChange(random.nextLong(1, Long.MAX_VALUE), false, "operator", 0, "");
    return configurations
        .apply(document, expectedVersion, change)
        .thenApply(accepted -> accepted(accepted.getVersion()));
  }

  private static HttpAnswer accepted(long version) {
    logger.atInfo().log("configuration version %d accepted", version);
    return HttpAnswer.json(200, "{\"version\":" + version + "}\n");
  }

  private static HttpAnswer toAnswer(ConfigurationVersion stored) {
    try {
      HttpAnswer answer =
          HttpAnswer.json(200, JsonFormat.printer().print(stored.getRecord().getDocument()) + "\n");
      answer.headers().set(HttpHeaderNames.ETAG, '"' + Long.toString(stored.getVersion()) + '"');
      return answer;
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalStateException(e);
    }
  }

  private HttpAnswer answer(HttpExchange exchange) {
    String path = exchange.path();
    if (path.startsWith(OWNER_PREFIX)) {
      return owner(path.substring(OWNER_PREFIX.length()));
    }
    switch (path) {
      case "/live":
        return HttpAnswer.text(200, "text/plain", "live\n");
      case "/ready":
        return ready();
      case "/metrics":
        return HttpAnswer.text(200, METRICS_TYPE, registry.scrape());
      case "/v1/status":
        return HttpAnswer.json(200, status() + "\n");
      default:
        return refuse(ResultCode.UNKNOWN_RESOURCE, "no resource " + path);
    }
  }

  private HttpAnswer ready() {
    if (!accepting.getAsBoolean()) {
      return refuse(ResultCode.STOPPING, "this VM is stopping");
    }
    if (!snapshots.get().isReady()) {
      return refuse(ResultCode.NOT_READY, "no configuration yet");
    }
    return HttpAnswer.text(200, "text/plain", "ready\n");
  }

  private ObjectNode status() {
    RoutingSnapshot snapshot = snapshots.get();
    ObjectNode status = JsonNodeFactory.instance.objectNode();
    status.put("vm", vm);
    status.put("dataCentre", snapshot.dataCentre());
    status.put("leads", leads.getAsBoolean());
    status.put("configurationVersion", snapshot.configuration().version());
    status.put("ownershipVersion", snapshot.owners().version().toString());
    ObjectNode slices = status.putObject("slicesByUpstream");
    for (String service : snapshot.configuration().services().keySet()) {
      for (SliceAssignment slice : snapshot.owners().slices(service)) {
        slices.put(slice.upstream(), slices.path(slice.upstream()).asInt() + 1);
      }
    }
    return status;
  }

  private HttpAnswer owner(String rest) {
    int slash = rest.indexOf('/');
    if (slash <= 0) {
      return refuse(
          ResultCode.UNKNOWN_RESOURCE, "the path must be " + OWNER_PREFIX + "SERVICE/KEY");
    }
    String service = rest.substring(0, slash);
    RoutingSnapshot snapshot = snapshots.get();
    long hash = KeyHashing.hash(rest.substring(slash + 1));
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("service", service);
    node.put("key", rest.substring(slash + 1));
    node.put("home", snapshot.homes().home(service, hash).orElse(null));
    Optional<SliceAssignment> owner = snapshot.owners().owner(service, hash);
    node.put("owner", owner.map(SliceAssignment::upstream).orElse(null));
    node.put("fence", owner.map(o -> o.fence().toString()).orElse(null));
    node.put("slice", owner.map(o -> o.range().toString()).orElse(null));
    return HttpAnswer.json(200, node + "\n");
  }

  @Override
  public HttpAnswer refuse(ResultCode code, String message) {
    return Answers.of(code, message);
  }
}
