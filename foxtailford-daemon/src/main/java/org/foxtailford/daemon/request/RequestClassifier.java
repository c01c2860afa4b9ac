package org.foxtailford.daemon.request;

import java.util.Optional;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.net.http.FoxtailHeaders;
import org.foxtailford.net.http.HttpExchange;

/** Reads the attributes of a request from its path and header fields. */
public final class RequestClassifier {

  private static final long MAX_TIMEOUT_MS = 600_000;

  private final long defaultTimeoutMs;

  public RequestClassifier(long defaultTimeoutMs) {
    this.defaultTimeoutMs = defaultTimeoutMs;
  }

  /**
   * Classifies a caller's request.
   *
   * @throws ResultCodeException if the path or a header field is not valid
   */
  public RequestAttributes classify(HttpExchange exchange, long nowMs) {
    return classify(exchange, nowMs + timeoutMs(exchange), 0);
  }

  /** Classifies a request that another entry VM relayed. */
  public RequestAttributes classify(HttpExchange exchange, long deadlineMs, int hops) {
    String[] segments = exchange.path().split("/", -1);
    if (segments.length < 3 || segments[1].isEmpty() || segments[2].isEmpty()) {
      throw new ResultCodeException(
          ResultCode.UNKNOWN_SERVICE, "the path must start with /SERVICE/KIND");
    }
    return new RequestAttributes(
        segments[1],
        segments[2],
        header(exchange, FoxtailHeaders.KEY),
        header(exchange, FoxtailHeaders.REQUEST_ID),
        deadlineMs,
        hops);
  }

  private static Optional<String> header(HttpExchange exchange, String name) {
    return Optional.ofNullable(exchange.headers().get(name)).filter(value -> !value.isEmpty());
  }

  private long timeoutMs(HttpExchange exchange) {
    Optional<String> text = header(exchange, FoxtailHeaders.TIMEOUT_MS);
    if (text.isEmpty()) {
      return defaultTimeoutMs;
    }
    if (!text.get().matches("[0-9]{1,6}") || Long.parseLong(text.get()) > MAX_TIMEOUT_MS) {
      throw new ResultCodeException(
          ResultCode.INVALID_HEADER,
          FoxtailHeaders.TIMEOUT_MS + " must be a whole number up to " + MAX_TIMEOUT_MS);
    }
    return Long.parseLong(text.get());
  }
}
