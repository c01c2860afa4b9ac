package org.foxtailford.net.proxy;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.OptionalLong;
import org.foxtailford.core.util.Assert;

/**
 * Request to be sent to an upstream.
 *
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end header fields
 * @param body body, or its first part; released when it is sent or the request is abandoned
 * @param bodyLength length of the whole body in bytes, as announced; empty to send it in chunks
 * @param requestId id that an answer must have if it states one; empty if the request has none
 * @param usedConnections connections of earlier attempts, to which that of this one is added
 * @param maxIdleMs maximum idle time of a reused connection, in milliseconds
 * @param gate asked at the moment of the send whether it is still to be sent
 */
public record UpstreamRequest(
    HttpMethod method,
    String uri,
    HttpHeaders headers,
    BodyPart body,
    OptionalLong bodyLength,
    String requestId,
    UsedConnections usedConnections,
    long maxIdleMs,
    SendGate gate) {

  /** Checks the fields. */
  public UpstreamRequest {
    Assert.notNull(method, "method");
    Assert.hasLength(uri, "uri");
    Assert.notNull(headers, "headers");
    Assert.notNull(body, "body");
    Assert.notNull(bodyLength, "bodyLength");
    Assert.notNull(requestId, "requestId");
    Assert.notNull(usedConnections, "usedConnections");
    Assert.notNull(gate, "gate");
  }
}
