package org.foxtailford.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.SingleRequestClient;
import org.foxtailford.net.tcp.ClosingEventLoopGroup;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.net.tls.ClientTls;
import org.foxtailford.schema.Endpoint;

/**
 * Sends requests to the operators' interface, to the first endpoint that answers.
 *
 * <p>A change whose answer is lost is sent again, to the next endpoint, with the same write id and
 * marked as resent, so that it is never made twice. Not thread-safe.
 */
final class OperatorClient {

  private static final String RESENT_HEADER = "Foxtail-Resent";
  private static final String CODE_HEADER = "Foxtail-Code";
  private static final String NO_CODE = "-1";
  private static final int RESENDS = 3;

  /** Maximum size of an answer's body, in bytes; a configuration takes a few. */
  private static final int MAX_ANSWER_BYTES = 64 << 20;

  private final List<String> endpoints;
  private final Optional<SSLContext> tls;
  private final Duration timeout;
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
    this.tls = Assert.notNull(tls, "tls");
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
    HttpHeaders fields = new DefaultHttpHeaders();
    headers.forEach(fields::set);
    HttpMethod method = body.isPresent() ? HttpMethod.PUT : HttpMethod.GET;
    byte[] content = body.orElse("").getBytes(StandardCharsets.UTF_8);
    EventLoopGroup loops = new ClosingEventLoopGroup(1);
    try {
      HttpClient client =
          new SingleRequestClient(loops, MAX_ANSWER_BYTES, this::security, new SystemMillisClock());
      HttpExchange exchange = new HttpExchange(method, path, fields, content);
      return reply(client.send(parse(endpoint), exchange, timeout.toMillis()).get());
    } catch (ExecutionException e) {
      throw new IOException(reason(e.getCause()), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    } finally {
      loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static String reason(Throwable failure) {
    Throwable cause = failure.getCause();
    return failure.getMessage() + (cause == null ? "" : ": " + cause);
  }

  /** Returns the address that stands in the form HOST:PORT. */
  static Endpoint parse(String endpoint) {
    int colon = endpoint.lastIndexOf(':');
    return Endpoint.newBuilder()
        .setHost(endpoint.substring(0, colon))
        .setPort(Integer.parseInt(endpoint.substring(colon + 1)))
        .build();
  }

  private ChannelSecurity security(Endpoint endpoint) {
    return tls.map(context -> ClientTls.security(context, endpoint.getHost(), endpoint.getPort()))
        .orElse(ChannelSecurity.NONE);
  }

  private OperatorReply reply(HttpAnswer answer) throws IOException {
    JsonNode body;
    long version;
    int code;
    try {
      body = json.readTree(answer.bodyText());
      version = Long.parseLong(answer.headers().get("ETag", "0").replace("\"", ""));
      code = Integer.parseInt(answer.headers().get(CODE_HEADER, NO_CODE));
    } catch (JsonProcessingException | NumberFormatException e) {
      throw new IOException("the answer can't be read; is this an operators' interface?", e);
    }
    if (answer.status() == 200) {
      return new OperatorReply(body, version);
    }
    ResultCode failure =
        ResultCode.findByNumber(code)
            .filter(found -> found != ResultCode.OK)
            .orElse(ResultCode.INTERNAL_ERROR);
    throw new OperatorReplyException(failure, body);
  }
}
