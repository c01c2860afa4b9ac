package org.foxtailford.net.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.foxtailford.core.util.Assert;

/**
 * Request for an upstream.
 *
 * @param method method
 * @param uri path and query
 * @param headers header fields, without those that concern a connection
 * @param body body, or its first part; released when it is sent or given up
 * @param bodyComplete whether that is the whole body
 * @param requestId id that the answer must repeat if it has one; empty for none
 * @param maxIdleMs longest time for which the connection may have been idle, in milliseconds
 */
public record UpstreamRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    ByteBuf body,
    boolean bodyComplete,
    String requestId,
    long maxIdleMs) {

  /** Checks the fields. */
  public UpstreamRequest {
    Assert.notNull(method, "method");
    Assert.hasLength(uri, "uri");
    Assert.notNull(headers, "headers");
    Assert.notNull(body, "body");
    Assert.notNull(requestId, "requestId");
  }
}
