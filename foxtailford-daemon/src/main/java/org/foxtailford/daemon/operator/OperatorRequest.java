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
 * A request of an operator.
 *
 * @param method method
 * @param segments decoded segments of the path
 * @param parameters parameters of the query
 * @param exchange the whole request
 */
public record OperatorRequest(
    HttpMethod method,
    List<String> segments,
    Map<String, List<String>> parameters,
    HttpExchange exchange) {

  /** Name that the operator gives; a client certificate goes before it. */
  public static final String OPERATOR_HEADER = "Foxtail-Operator";

  private static final String UNKNOWN_OPERATOR = "unknown";

  static OperatorRequest of(HttpExchange exchange) {
    List<String> segments = new ArrayList<>();
    for (String part : exchange.path().substring(1).split("/", -1)) {
      segments.add(URLDecoder.decode(part, StandardCharsets.UTF_8));
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

  /** Returns the segments after the first ones. */
  List<String> after(int count) {
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

  boolean isSet(String parameter) {
    return parameter(parameter).filter(value -> !value.equals("false")).isPresent();
  }

  Optional<String> header(String name) {
    return Optional.ofNullable(exchange.headers().get(name)).filter(value -> !value.isEmpty());
  }

  boolean hasCertificate() {
    return header(ClientSubjectHandler.HEADER).isPresent();
  }

  /** Returns who asks: the subject of the client's certificate, else the name that is given. */
  String who() {
    return header(ClientSubjectHandler.HEADER)
        .or(() -> header(OPERATOR_HEADER))
        .orElse(UNKNOWN_OPERATOR);
  }

  String body() {
    return new String(exchange.body(), StandardCharsets.UTF_8);
  }
}
