package org.foxtailford.net.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;

/**
 * A whole HTTP answer.
 *
 * @param status status code
 * @param headers header fields
 * @param body body; never changed after construction
 */
public record HttpAnswer(int status, HttpHeaders headers, byte[] body) {

  /** Returns an answer with a text body. */
  public static HttpAnswer text(int status, String contentType, String body) {
    HttpHeaders headers = new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    return new HttpAnswer(status, headers, body.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an answer with a JSON body. */
  public static HttpAnswer json(int status, String body) {
    return text(status, "application/json", body);
  }

  /** Returns the body as text. */
  public String bodyText() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
