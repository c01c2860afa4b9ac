package org.foxtailford.core.slice;

import net.openhft.hashing.LongHashFunction;

/** Hash of keys, the same in every process and version. */
public final class KeyHashing {

  private static final LongHashFunction XXH3 = LongHashFunction.xx3();

  private KeyHashing() {}

  /** Returns the 64-bit hash of a key. */
  public static long hash(String key) {
    return XXH3.hashChars(key);
  }
}
