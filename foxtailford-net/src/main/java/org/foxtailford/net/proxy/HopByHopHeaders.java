package org.foxtailford.net.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Header fields that concern one connection only. */
final class HopByHopHeaders {

  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.EXPECT,
          "keep-alive",
          "proxy-connection");

  private HopByHopHeaders() {}

  /** Removes them, and those that the connection field names. */
  static void removeFrom(HttpHeaders headers) {
    for (String listed : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : listed.split(",")) {
        if (!name.isBlank()) {
          headers.remove(name.strip());
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
