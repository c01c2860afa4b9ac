package org.foxtailford.net.proxy;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/** Removes hop-by-hop header fields, which apply to a single connection (RFC 9110, 7.6.1). */
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

  /** Fields for each recipient, which the Connection field must not name. */
  private static final Set<String> END_TO_END =
      Set.of(HttpHeaderNames.HOST.toString(), HttpHeaderNames.CONTENT_LENGTH.toString());

  private HopByHopHeaders() {}

  /** Removes the known hop-by-hop fields and those listed in the Connection field. */
  static void removeFrom(HttpHeaders headers) {
    for (String connectionOptions : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : connectionOptions.split(",")) {
        String field = name.strip();
        if (!field.isEmpty() && !END_TO_END.contains(field.toLowerCase(Locale.ROOT))) {
          headers.remove(field);
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
