package org.foxtailford.core.poison;

import net.openhft.hashing.LongHashFunction;
import org.foxtailford.core.util.Assert;

/** Hash of a request's content that is equal on all entry VMs and for each retry. */
public final class RequestFingerprint {

  private static final LongHashFunction XXH3 = LongHashFunction.xx3();

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request.
   *
   * @param target what the request addresses: path and query, with the host if hosts differ
   * @param key key of the request; empty if it has none
   */
  public static long of(String method, String target, String key, byte[] body) {
    long[] parts = {
      XXH3.hashChars(Assert.notNull(method, "method")),
      XXH3.hashChars(Assert.notNull(target, "target")),
      XXH3.hashChars(Assert.notNull(key, "key")),
      XXH3.hashBytes(Assert.notNull(body, "body")),
    };
    return XXH3.hashLongs(parts);
  }
}
