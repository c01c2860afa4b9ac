package org.foxtailford.core.slice;

import net.openhft.hashing.LongHashFunction;

/** Hash function for keys (XXH3). The result is the same in every process and version. */
public final class KeyHashing {

  private static final LongHashFunction XXH3 = LongHashFunction.xx3();

  private KeyHashing() {}

  /** Returns the 64-bit hash of a key; callers compare hashes as unsigned numbers. */
  public static long hash(String key) {
    return XXH3.hashChars(key);
  }
}
