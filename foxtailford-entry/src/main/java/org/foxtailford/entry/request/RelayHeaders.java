package org.foxtailford.entry.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.OptionalInt;

/**
 * Header fields between entry VMs, of a request that one of them has another one serve. They reach
 * neither upstreams nor callers.
 */
final class RelayHeaders {

  /** Number of upstreams that the request may have reached so far; marks a relayed request. */
  private static final String ATTEMPTS = "Foxtailford-Relayed-After";

  /** States in an answer that the request has not run and will not run. */
  private static final String NOT_RUN = "Foxtailford-Not-Run";

  private RelayHeaders() {}

  /** Marks a request as relayed. */
  static void setAttempts(HttpHeaders headers, int attempts) {
    headers.set(ATTEMPTS, attempts);
  }

  /** Returns the number of upstreams that a relayed request may have reached; empty for others. */
  static OptionalInt attempts(HttpHeaders headers) {
    if (!headers.contains(ATTEMPTS)) {
      return OptionalInt.empty();
    }
    return OptionalInt.of(Math.max(0, headers.getInt(ATTEMPTS, 0)));
  }

  static void setNotRun(HttpHeaders headers) {
    headers.set(NOT_RUN, "1");
  }

  static boolean isNotRun(HttpHeaders headers) {
    return headers.contains(NOT_RUN);
  }

  static void removeFrom(HttpHeaders headers) {
    headers.remove(ATTEMPTS).remove(NOT_RUN);
  }
}
