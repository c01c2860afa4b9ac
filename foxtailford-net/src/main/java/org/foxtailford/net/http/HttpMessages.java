package org.foxtailford.net.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;

/**
 * Converts between Netty's HTTP messages and those of this package, and removes hop-by-hop header
 * fields.
 */
final class HttpMessages {

  private static final List<CharSequence> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.CONTENT_LENGTH,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.EXPECT,
          "keep-alive");

  private HttpMessages() {}

  static HttpExchange toExchange(FullHttpRequest request) {
    removeHopByHop(request.headers());
    return new HttpExchange(
        request.method(),
        request.uri(),
        request.headers(),
        ByteBufUtil.getBytes(request.content()));
  }

  static HttpAnswer toAnswer(FullHttpResponse response) {
    removeHopByHop(response.headers());
    byte[] body = ByteBufUtil.getBytes(response.content());
    return new HttpAnswer(response.status().code(), response.headers(), body);
  }

  static FullHttpResponse toResponse(HttpAnswer answer, boolean keepAlive, boolean headOnly) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(answer.body()));
    response.headers().set(answer.headers());
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.body().length);
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }

  static FullHttpRequest toRequest(HttpExchange exchange, String host) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            exchange.method(),
            exchange.uri(),
            Unpooled.wrappedBuffer(exchange.body()));
    request.headers().set(exchange.headers());
    removeHopByHop(request.headers());
    request.headers().set(HttpHeaderNames.HOST, host);
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, exchange.body().length);
    return request;
  }

  private static void removeHopByHop(HttpHeaders headers) {
    for (String connectionOptions : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : connectionOptions.split(",")) {
        if (!name.isBlank()) {
          headers.remove(name.strip());
        }
      }
    }
    HOP_BY_HOP.forEach(headers::remove);
  }
}
