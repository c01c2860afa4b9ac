package org.foxtailford.net.proxy;

import io.netty.handler.codec.http.HttpHeaders;

/** Prepares a caller's header fields for forwarding to an upstream. */
public final class RequestHeaders {

  private RequestHeaders() {}

  /** Removes the hop-by-hop fields, which apply to the caller's connection only. */
  public static void prepare(HttpHeaders headers) {
    HopByHopHeaders.removeFrom(headers);
  }
}
