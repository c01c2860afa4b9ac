package org.foxtailford.daemon.request;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.result.RetryLaterException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.routing.RequestRouter;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.HeaderField;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/**
 * Relays requests to other entry VMs and converts between HTTP and relay messages.
 *
 * <p>A request is relayed at most once to the home data centre of its key, and after that at most
 * once to the holder of a cold upstream's gate. Thread-safe.
 */
public final class RelaySender {

  /** Hop count of a request relayed to the holder of a gate, which does not relay it again. */
  static final int GATE_HOPS = RequestRouter.MAX_HOPS + 1;

  private final RelayRoutes routes;
  private final RouterMetrics metrics;
  private final MillisClock clock;

  /**
   * Creates a sender.
   *
   * @param routes finds links to other entry VMs
   * @param metrics counts relays
   * @param clock this VM's clock
   */
  public RelaySender(RelayRoutes routes, RouterMetrics metrics, MillisClock clock) {
    this.routes = Assert.notNull(routes, "routes");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Relays a request to an entry VM of another data centre.
   *
   * @param exchange the caller's request
   * @param attributes attributes of the request
   * @param dataCentre name of the target data centre
   * @return the whole answer; completes exceptionally with a result code if there is none
   */
  CompletableFuture<HttpAnswer> relay(
      HttpExchange exchange, RequestAttributes attributes, String dataCentre) {
    Optional<RelayPort> port = routes.toDataCentre(dataCentre);
    if (port.isEmpty()) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(
              ResultCode.HOME_UNREACHABLE, "no link to data centre " + dataCentre));
    }
    metrics.relay(dataCentre);
    return relay(port.get(), exchange, attributes, attributes.hops() + 1);
  }

  /**
   * Relays a request to the entry VM that may send to a cold upstream.
   *
   * @param exchange the caller's request
   * @param attributes attributes of the request
   * @param upstream name of the cold upstream, which owns the request's key
   * @return the whole answer; empty if the request was already relayed to a gate holder, or if no
   *     holder can be reached
   */
  Optional<CompletableFuture<HttpAnswer>> relayToGateHolder(
      HttpExchange exchange, RequestAttributes attributes, String upstream) {
    if (attributes.hops() >= GATE_HOPS) {
      return Optional.empty();
    }
    Optional<RelayPort> port = routes.toGateHolder(upstream);
    port.ifPresent(holder -> metrics.coldRelay(attributes.service()));
    return port.map(holder -> relay(holder, exchange, attributes, GATE_HOPS));
  }

  private CompletableFuture<HttpAnswer> relay(
      RelayPort port, HttpExchange exchange, RequestAttributes attributes, int hops) {
    long remainingMs = attributes.deadlineMs() - clock.nowMs();
    RelayRequest.Builder request =
        RelayRequest.newBuilder()
            .setMethod(exchange.method().name())
            .setUri(exchange.uri())
            .setBody(ByteString.copyFrom(exchange.body()))
            .setRemainingMs((int) Math.max(0, remainingMs))
            .setHops(hops);
    exchange.headers().forEach(h -> request.addHeaders(field(h.getKey(), h.getValue())));
    CompletableFuture<RelayAnswer> relayed = port.relay(request.build(), remainingMs);
    CompletableFuture<HttpAnswer> answer = relayed.thenApply(RelaySender::toAnswer);
    answer.whenComplete((received, failure) -> relayed.cancel(false));
    return answer;
  }

  private static HeaderField field(String name, String value) {
    return HeaderField.newBuilder().setName(name).setValue(value).build();
  }

  private static HttpAnswer toAnswer(RelayAnswer relayed) {
    ResultCode code =
        ResultCode.findByNumber(relayed.getResultCode()).orElse(ResultCode.INTERNAL_ERROR);
    if (code != ResultCode.OK && relayed.getRetryAfterMs() > 0) {
      throw new RetryLaterException(code, relayed.getMessage(), relayed.getRetryAfterMs());
    }
    if (code != ResultCode.OK) {
      throw new ResultCodeException(code, relayed.getMessage());
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    relayed.getHeadersList().forEach(h -> headers.add(h.getName(), h.getValue()));
    return new HttpAnswer(relayed.getStatus(), headers, relayed.getBody().toByteArray());
  }

  /** Converts a relayed request to an HTTP exchange. */
  static HttpExchange toExchange(RelayRequest request) {
    HttpHeaders headers = new DefaultHttpHeaders();
    request.getHeadersList().forEach(h -> headers.add(h.getName(), h.getValue()));
    return new HttpExchange(
        HttpMethod.valueOf(request.getMethod()),
        request.getUri(),
        headers,
        request.getBody().toByteArray());
  }

  /** Converts an answer to the message for the relaying VM. */
  static RelayAnswer toRelayAnswer(HttpAnswer answer) {
    RelayAnswer.Builder relayed =
        RelayAnswer.newBuilder()
            .setStatus(answer.status())
            .setBody(ByteString.copyFrom(answer.body()))
            .setResultCode(ResultCode.OK.number());
    answer.headers().forEach(h -> relayed.addHeaders(field(h.getKey(), h.getValue())));
    return relayed.build();
  }

  /** Converts a failure to the message for the relaying VM. */
  static RelayAnswer toRelayAnswer(Throwable failure) {
    ResultCode code = ResultCodeException.codeOf(failure);
    return RelayAnswer.newBuilder()
        .setStatus(code.httpStatus())
        .setResultCode(code.number())
        .setMessage(messageOf(failure))
        .setRetryAfterMs(RetryLaterException.findRetryAfterMs(failure).orElse(0L).intValue())
        .build();
  }

  /** Returns the message of a failure, or of its cause if a future wrapped it. */
  static String messageOf(Throwable failure) {
    boolean isWrapped = failure instanceof CompletionException && failure.getCause() != null;
    return String.valueOf((isWrapped ? failure.getCause() : failure).getMessage());
  }
}
