package org.foxtailford.testkit.command;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionException;
import org.foxtailford.core.time.SystemMillisClock;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.net.http.SingleRequestClient;
import org.foxtailford.net.tcp.ClosingEventLoopGroup;
import org.foxtailford.net.tls.ChannelSecurity;
import org.foxtailford.schema.Endpoint;

/** Blocking HTTP calls of the demonstration. */
final class DemoClient {

  private static final long TIMEOUT_MS = 5000;
  private static final int MAX_ANSWER_BYTES = 16 << 20;

  private final HttpClient client =
      new SingleRequestClient(
          new ClosingEventLoopGroup(1),
          MAX_ANSWER_BYTES,
          endpoint -> ChannelSecurity.NONE,
          new SystemMillisClock());

  /** An answer; status 0 stands for no answer. */
  record Answer(int status, String body, String code, String upstream, String etag) {

    boolean isOk() {
      return status == 200;
    }
  }

  Answer get(String base, String path, String... headers) {
    return send(base, path, "GET", "", headers);
  }

  Answer send(String base, String path, String method, String body, String... headers) {
    HttpHeaders fields = new DefaultHttpHeaders();
    for (int i = 0; i < headers.length; i += 2) {
      fields.set(headers[i], headers[i + 1]);
    }
    URI uri = URI.create(base);
    Endpoint endpoint = Endpoint.newBuilder().setHost(uri.getHost()).setPort(uri.getPort()).build();
    byte[] content = body.getBytes(StandardCharsets.UTF_8);
    HttpExchange exchange = new HttpExchange(HttpMethod.valueOf(method), path, fields, content);
    try {
      HttpAnswer answer = client.send(endpoint, exchange, TIMEOUT_MS).join();
      return new Answer(
          answer.status(),
          answer.bodyText(),
          answer.headers().get("Foxtail-Code", ""),
          answer.headers().get("Foxtail-Upstream", ""),
          answer.headers().get("ETag", ""));
    } catch (CompletionException e) {
      return new Answer(0, String.valueOf(e.getMessage()), "", "", "");
    }
  }
}
