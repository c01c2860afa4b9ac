package org.foxtailford.net.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.OptionalLong;

/** Reads and requests the boot ids that upstreams put into their answers. */
final class BootIds {

  /** Every answer carries the boot id; the health check has no side effects. */
  private static final String PROBE_PATH = "/control/health";

  private BootIds() {}

  /** Returns the boot id of an answer; empty if it is missing, malformed or 0. */
  static OptionalLong of(HttpAnswer answer) {
    String value = answer.headers().get(FoxtailHeaders.BOOT_ID);
    if (value == null) {
      return OptionalLong.empty();
    }
    try {
      long bootId = Long.parseUnsignedLong(value);
      return bootId == 0 ? OptionalLong.empty() : OptionalLong.of(bootId);
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  /** Returns a new request whose answer carries the boot id. */
  static HttpExchange probe() {
    return new HttpExchange(HttpMethod.GET, PROBE_PATH, new DefaultHttpHeaders(), new byte[0]);
  }
}
