package org.foxtailford.platform;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.foxtailford.core.configuration.Upstream;
import org.foxtailford.core.ownership.UpstreamGrants;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.core.util.Assert;
import org.foxtailford.net.http.HttpAnswer;
import org.foxtailford.net.http.HttpClient;
import org.foxtailford.net.http.HttpExchange;
import org.foxtailford.schema.GrantReply;
import org.foxtailford.schema.GrantRequest;

/**
 * Client of the upstreams' grant interface: {@code GET} and {@code PUT /control/grant} with JSON.
 *
 * <p>Status 409 carries a regular reply, in which the upstream rejects the grant. Any other status
 * than 200 fails the future with {@code UPSTREAM_UNREACHABLE}. Thread-safe.
 */
public final class HttpUpstreamGrants implements UpstreamGrants {

  private static final String PATH = "/control/grant";
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpClient client;
  private final int timeoutMs;

  /**
   * Creates a client of the grant interface.
   *
   * @param client sends the calls
   * @param timeoutMs timeout of each call, in milliseconds
   */
  public HttpUpstreamGrants(HttpClient client, int timeoutMs) {
    this.client = Assert.notNull(client, "client");
    this.timeoutMs = timeoutMs;
  }

  @Override
  public CompletableFuture<GrantReply> status(Upstream upstream) {
    return send(upstream, HttpMethod.GET, "");
  }

  @Override
  public CompletableFuture<GrantReply> grant(Upstream upstream, GrantRequest request) {
    try {
      return send(upstream, HttpMethod.PUT, JsonFormat.printer().print(request));
    } catch (InvalidProtocolBufferException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<GrantReply> send(Upstream upstream, HttpMethod method, String body) {
    HttpHeaders headers =
        new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    HttpExchange exchange = new HttpExchange(method, PATH, headers, bytes);
    return client
        .send(upstream.address(), exchange, timeoutMs)
        .thenApply(HttpUpstreamGrants::toReply);
  }

  private static GrantReply toReply(HttpAnswer answer) {
    if (answer.status() != OK && answer.status() != CONFLICT) {
      throw new ResultCodeException(
          ResultCode.UPSTREAM_UNREACHABLE, "the upstream answered " + answer.status());
    }
    try {
      GrantReply.Builder reply = GrantReply.newBuilder();
      JsonFormat.parser().ignoringUnknownFields().merge(answer.bodyText(), reply);
      return reply.build();
    } catch (InvalidProtocolBufferException e) {
      throw new ResultCodeException(
          ResultCode.UPSTREAM_UNREACHABLE, "the upstream's grant cannot be read", e);
    }
  }
}
