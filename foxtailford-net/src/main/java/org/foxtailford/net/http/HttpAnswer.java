package org.foxtailford.net.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A complete HTTP answer, held in memory.
 *
 * @param status status code
 * @param headers header fields, without hop-by-hop fields if received
 * @param body body, possibly empty; must not be modified
 */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {

  /** Returns an answer with the given content type and a body encoded as UTF-8. */
  public static HttpAnswer text(int status, String contentType, String body) {
    HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    return new HttpAnswer(status, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an answer with a JSON body, encoded as UTF-8. */
  public static HttpAnswer json(int status, String body) {
    return text(status, "application/json", body);
  }

  /** Returns the body, decoded as UTF-8. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
