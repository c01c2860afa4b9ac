package org.foxtailford.net.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A whole HTTP request.
 *
 * @param method method
 * @param uri path and query
 * @param headers header fields
 * @param body body; never changed after construction
 */
public record HttpExchange(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {

  /** Returns the path, without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
