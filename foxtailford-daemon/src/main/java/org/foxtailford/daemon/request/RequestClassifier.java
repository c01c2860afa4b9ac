package org.foxtailford.daemon.request;

import java.util.Optional;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpExchange;

/** Derives the attributes of a request from its path and header fields. Immutable. */
public final class RequestClassifier {

  /** Maximum timeout that a caller may request, in milliseconds. */
  private static final long MAX_TIMEOUT_MS = 600_000;

  private final long defaultTimeoutMs;

  /**
   * Creates a classifier.
   *
   * @param defaultTimeoutMs timeout of requests that carry none, in milliseconds
   */
  public RequestClassifier(long defaultTimeoutMs) {
    this.defaultTimeoutMs = defaultTimeoutMs;
  }

  /**
   * Classifies a caller's request.
   *
   * @param exchange the request
   * @param nowMs current time by this VM's clock, in milliseconds
   * @throws ResultCodeException if the path or a header field is not valid
   */
  public RequestAttributes classify(HttpExchange exchange, long nowMs) {
    return classify(exchange, nowMs + timeoutMs(exchange), 0);
  }

  /**
   * Classifies a request that another entry VM relayed.
   *
   * @param exchange the request
   * @param deadlineMs deadline of the request by this VM's clock, in milliseconds
   * @param hops number of times that the request was relayed
   * @throws ResultCodeException if the path is not valid
   */
  public RequestAttributes classify(HttpExchange exchange, long deadlineMs, int hops) {
    String[] segments = exchange.path().split("/", -1);
    if (segments.length < 3 || segments[1].isEmpty() || segments[2].isEmpty()) {
      throw new ResultCodeException(
          ResultCode.UNKNOWN_SERVICE, "the path must start with /SERVICE/KIND");
    }
    return new RequestAttributes(
        segments[1],
        segments[2],
        findHeader(exchange, FoxtailHeaders.KEY),
        findHeader(exchange, FoxtailHeaders.REQUEST_ID),
        deadlineMs,
        hops);
  }

  private static Optional<String> findHeader(HttpExchange exchange, String name) {
    return Optional.ofNullable(exchange.headers().get(name)).filter(value -> !value.isEmpty());
  }

  private long timeoutMs(HttpExchange exchange) {
    Optional<String> timeout = findHeader(exchange, FoxtailHeaders.TIMEOUT_MS);
    if (timeout.isEmpty()) {
      return defaultTimeoutMs;
    }
    if (!timeout.get().matches("[0-9]{1,6}") || Long.parseLong(timeout.get()) > MAX_TIMEOUT_MS) {
      throw new ResultCodeException(
          ResultCode.INVALID_HEADER,
          FoxtailHeaders.TIMEOUT_MS + " must be a whole number up to " + MAX_TIMEOUT_MS);
    }
    return Long.parseLong(timeout.get());
  }
}
