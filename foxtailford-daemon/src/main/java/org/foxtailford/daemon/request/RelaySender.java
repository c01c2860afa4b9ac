package org.foxtailford.daemon.request;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;
import org.foxtailford.core.metrics.RouterMetrics;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.core.time.MillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.peer.PeerLink;
import org.foxtailford.schema.HeaderField;
import org.foxtailford.schema.RelayAnswer;
import org.foxtailford.schema.RelayRequest;

/** Passes requests to entry VMs of other data centres, and reads those passed here. Thread-safe. */
public final class RelaySender {

  private final Function<String, Optional<PeerLink>> links;
  private final RouterMetrics metrics;
  private final MillisClock clock;

  /**
   * Creates a sender.
   *
   * @param links gives an open link to some entry VM of a data centre
   * @param metrics counters
   * @param clock clock of this VM
   */
  public RelaySender(
      Function<String, Optional<PeerLink>> links, RouterMetrics metrics, MillisClock clock) {
    this.links = Assert.notNull(links, "links");
    this.metrics = Assert.notNull(metrics, "metrics");
    this.clock = Assert.notNull(clock, "clock");
  }

  /**
   * Relays a request.
   *
   * @param exchange the caller's request
   * @param attributes its attributes
   * @param dataCentre where to
   * @return the whole answer; fails with a result code otherwise
   */
  CompletableFuture<HttpAnswer> relay(
      HttpExchange exchange, RequestAttributes attributes, String dataCentre) {
    Optional<PeerLink> link = links.apply(dataCentre);
    if (link.isEmpty()) {
      return CompletableFuture.failedFuture(
          new ResultCodeException(
              ResultCode.HOME_UNREACHABLE, "no link to data centre " + dataCentre));
    }
    metrics.relay(dataCentre);
    long remainingMs = attributes.deadlineMs() - clock.nowMs();
    RelayRequest.Builder request =
        RelayRequest.newBuilder()
            .setMethod(exchange.method().name())
            .setUri(exchange.uri())
            .setBody(ByteString.copyFrom(exchange.body()))
            .setRemainingMs((int) Math.max(0, remainingMs))
            .setHops(attributes.hops() + 1);
    exchange.headers().forEach(h -> request.addHeaders(field(h.getKey(), h.getValue())));
    return link.get().relay(request.build(), remainingMs).thenApply(RelaySender::toAnswer);
  }

  private static HeaderField field(String name, String value) {
    return HeaderField.newBuilder().setName(name).setValue(value).build();
  }

  private static HttpAnswer toAnswer(RelayAnswer relayed) {
    ResultCode code =
        ResultCode.ofNumber(relayed.getResultCode()).orElse(ResultCode.INTERNAL_ERROR);
    if (code != ResultCode.OK) {
      throw new ResultCodeException(code, relayed.getMessage());
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    relayed.getHeadersList().forEach(h -> headers.add(h.getName(), h.getValue()));
    return new HttpAnswer(relayed.getStatus(), headers, relayed.getBody().toByteArray());
  }

  /** Returns the request that another entry VM relayed. */
  static HttpExchange toExchange(RelayRequest request) {
    HttpHeaders headers = new DefaultHttpHeaders();
    request.getHeadersList().forEach(h -> headers.add(h.getName(), h.getValue()));
    return new HttpExchange(
        HttpMethod.valueOf(request.getMethod()),
        request.getUri(),
        headers,
        request.getBody().toByteArray());
  }

  /** Returns the message that carries an answer back. */
  static RelayAnswer toRelay(HttpAnswer answer) {
    RelayAnswer.Builder relayed =
        RelayAnswer.newBuilder()
            .setStatus(answer.status())
            .setBody(ByteString.copyFrom(answer.body()))
            .setResultCode(ResultCode.OK.number());
    answer.headers().forEach(h -> relayed.addHeaders(field(h.getKey(), h.getValue())));
    return relayed.build();
  }

  /** Returns the message that carries a failure back. */
  static RelayAnswer toRelay(Throwable failure) {
    ResultCode code = ResultCodeException.codeOf(failure);
    return RelayAnswer.newBuilder()
        .setStatus(code.httpStatus())
        .setResultCode(code.number())
        .setMessage(messageOf(failure))
        .build();
  }

  /** Returns the message of a failure, without the wrappers added by futures. */
  static String messageOf(Throwable failure) {
    boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
    return String.valueOf((wrapped ? failure.getCause() : failure).getMessage());
  }
}
