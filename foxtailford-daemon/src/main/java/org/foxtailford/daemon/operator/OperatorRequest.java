package org.foxtailford.daemon.operator;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.tls.ClientSubjectHandler;

/**
 * Request of an operator, with its path and query decoded.
 *
 * @param method HTTP method
 * @param segments percent-decoded segments of the path; at least one, which may be empty
 * @param parameters values of each query parameter, by name
 * @param exchange underlying HTTP exchange
 */
public record OperatorRequest(
    HttpMethod method,
    List<String> segments,
    Map<String, List<String>> parameters,
    HttpExchange exchange) {

  /** Header with the operator's name; the subject of a client certificate takes precedence. */
  public static final String OPERATOR_HEADER = "Foxtail-Operator";

  private static final String UNKNOWN_OPERATOR = "unknown";

  static OperatorRequest of(HttpExchange exchange) {
    List<String> segments = new ArrayList<>();
    for (String segment : exchange.path().substring(1).split("/", -1)) {
      segments.add(URLDecoder.decode(segment, StandardCharsets.UTF_8));
    }
    return new OperatorRequest(
        exchange.method(),
        List.copyOf(segments),
        new QueryStringDecoder(exchange.uri()).parameters(),
        exchange);
  }

  boolean isPut() {
    return method.equals(HttpMethod.PUT);
  }

  String path() {
    return exchange.path();
  }

  /** Returns the segments after the first {@code count}; empty if there are no more. */
  List<String> segmentsAfter(int count) {
    return segments.subList(Math.min(count, segments.size()), segments.size());
  }

  Optional<String> parameter(String name) {
    return Optional.ofNullable(parameters.get(name)).map(values -> values.get(0));
  }

  String requiredParameter(String name) {
    return parameter(name)
        .orElseThrow(
            () -> new ResultCodeException(ResultCode.USAGE, "parameter " + name + " is missing"));
  }

  /** Returns whether a query parameter is present with a value other than {@code false}. */
  boolean isSet(String parameter) {
    return parameter(parameter).filter(value -> !value.equals("false")).isPresent();
  }

  /** Returns the value of a header; empty if it is absent or an empty string. */
  Optional<String> header(String name) {
    return Optional.ofNullable(exchange.headers().get(name)).filter(value -> !value.isEmpty());
  }

  boolean hasCertificate() {
    return header(ClientSubjectHandler.HEADER).isPresent();
  }

  /**
   * Returns the subject of the client certificate, else the value of {@link #OPERATOR_HEADER}, else
   * {@code unknown}.
   */
  String operatorName() {
    return header(ClientSubjectHandler.HEADER)
        .or(() -> header(OPERATOR_HEADER))
        .orElse(UNKNOWN_OPERATOR);
  }

  String body() {
    return new String(exchange.body(), StandardCharsets.UTF_8);
  }
}
