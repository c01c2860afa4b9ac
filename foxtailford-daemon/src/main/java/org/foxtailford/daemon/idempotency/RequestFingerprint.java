package org.foxtailford.daemon.idempotency;

import net.openhft.hashing.LongHashFunction;
import org.foxtailford.core.routing.RequestAttributes;
import org.foxtailford.net.http.HttpExchange;

/** Computes a hash of a request's content that is equal on all entry VMs and for each retry. */
final class RequestFingerprint {

  private static final LongHashFunction XXH3 = LongHashFunction.xx3();

  private RequestFingerprint() {}

  static long of(HttpExchange exchange, RequestAttributes attributes) {
    long[] parts = {
      XXH3.hashChars(exchange.method().name()),
      XXH3.hashChars(exchange.uri()),
      XXH3.hashChars(attributes.key().orElse("")),
      XXH3.hashBytes(exchange.body()),
    };
    return XXH3.hashLongs(parts);
  }
}
