package org.foxtailford.net.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;

/**
 * A complete HTTP request, held in memory.
 *
 * @param method request method
 * @param uri request target: path and query
 * @param headers header fields, without hop-by-hop fields if received
 * @param body body, possibly empty; must not be modified
 */
public record HttpExchange(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {

  /** Returns the request target without the query. */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
