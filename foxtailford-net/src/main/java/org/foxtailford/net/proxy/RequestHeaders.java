package org.foxtailford.net.proxy;

import io.netty.handler.codec.http.HttpHeaders;

/** Prepares a caller's header fields for an upstream. */
public final class RequestHeaders {

  private RequestHeaders() {}

  /** Removes the fields that concern the caller's connection only. */
  public static void prepare(HttpHeaders headers) {
    HopByHopHeaders.removeFrom(headers);
  }
}
