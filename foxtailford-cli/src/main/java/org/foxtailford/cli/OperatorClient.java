package org.foxtailford.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import javax.net.ssl.SSLContext;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;

/**
 * Sends requests to the operators' interface, to the first endpoint that answers.
 *
 * <p>A change whose answer is lost is sent again, to the next endpoint, with the same write id and
 * marked as resent, so that it is never made twice. Not thread-safe.
 */
final class OperatorClient {

  private static final String RESENT_HEADER = "Foxtail-Resent";
  private static final String CODE_HEADER = "Foxtail-Code";
  private static final int RESENDS = 3;

  private final List<String> endpoints;
  private final String scheme;
  private final Duration timeout;
  private final HttpClient client;
  private final ObjectMapper json = new ObjectMapper();

  /**
   * Creates a client.
   *
   * @param endpoints HOST:PORT, in the order in which they are tried
   * @param tls certificates; empty for connections without protection
   * @param timeout longest wait for one answer
   */
  OperatorClient(List<String> endpoints, Optional<SSLContext> tls, Duration timeout) {
    Assert.isTrue(!endpoints.isEmpty(), "endpoints must not be empty");
    this.endpoints = List.copyOf(endpoints);
    this.timeout = Assert.notNull(timeout, "timeout");
    this.scheme = tls.isPresent() ? "https" : "http";
    HttpClient.Builder builder =
        HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(timeout);
    tls.ifPresent(builder::sslContext);
    this.client = builder.build();
  }

  List<String> endpoints() {
    return endpoints;
  }

  /** Reads a resource from the first endpoint that answers. */
  OperatorReply get(String path) {
    return firstAnswer(path, Optional.empty(), Map.of(), 1);
  }

  /** Reads a resource from one endpoint. */
  OperatorReply getFrom(String endpoint, String path) {
    try {
      return send(endpoint, path, Optional.empty(), Map.of());
    } catch (IOException e) {
      throw unreachable(List.of(endpoint + ": " + describe(e)));
    }
  }

  /** Sends a change, again if its answer is lost. */
  OperatorReply put(String path, String body, Map<String, String> headers) {
    return firstAnswer(path, Optional.of(body), headers, RESENDS);
  }

  private OperatorReply firstAnswer(
      String path, Optional<String> body, Map<String, String> headers, int rounds) {
    List<String> failures = new ArrayList<>();
    Map<String, String> sent = headers;
    for (int round = 0; round < rounds; round++) {
      for (String endpoint : endpoints) {
        try {
          return send(endpoint, path, body, sent);
        } catch (IOException e) {
          failures.add(endpoint + ": " + describe(e));
          sent = resent(sent);
        } catch (OperatorReplyException e) {
          if (e.code() != ResultCode.ACCEPTANCE_UNKNOWN || round + 1 == rounds) {
            throw e;
          }
          sent = resent(sent);
        }
      }
    }
    throw unreachable(failures);
  }

  private static Map<String, String> resent(Map<String, String> headers) {
    Map<String, String> marked = new TreeMap<>(headers);
    marked.put(RESENT_HEADER, "true");
    return marked;
  }

  private static ResultCodeException unreachable(List<String> failures) {
    return new ResultCodeException(
        ResultCode.OPERATORS_UNREACHABLE,
        "no operators' interface answered:\n  " + String.join("\n  ", failures));
  }

  private static String describe(IOException failure) {
    String message = failure.getMessage();
    return failure.getClass().getSimpleName() + (message == null ? "" : ": " + message);
  }

  private OperatorReply send(
      String endpoint, String path, Optional<String> body, Map<String, String> headers)
      throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(scheme + "://" + endpoint + path)).timeout(timeout);
    headers.forEach(request::header);
    body.ifPresent(text -> request.PUT(HttpRequest.BodyPublishers.ofString(text)));
    try {
      return reply(client.send(request.build(), HttpResponse.BodyHandlers.ofString()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }

  private OperatorReply reply(HttpResponse<String> response) throws IOException {
    JsonNode body;
    try {
      body = json.readTree(response.body());
    } catch (JsonProcessingException e) {
      throw new IOException("the answer is not JSON; is this an operators' interface?", e);
    }
    if (response.statusCode() == 200) {
      String tag = response.headers().firstValue("ETag").orElse("0");
      return new OperatorReply(body, Long.parseLong(tag.replace("\"", "")));
    }
    ResultCode code =
        response
            .headers()
            .firstValue(CODE_HEADER)
            .flatMap(number -> ResultCode.findByNumber(Integer.parseInt(number)))
            .orElse(ResultCode.INTERNAL_ERROR);
    throw new OperatorReplyException(code, body);
  }
}
