package org.foxtailford.core.tenant;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;

/** Checks and digests of API keys. */
public final class ApiKeys {

  /** Bytes of a digest; 4 tell the keys of a configuration apart without disclosing them. */
  private static final int DIGEST_BYTES = 4;

  private ApiKeys() {}

  /** Returns whether a key has only printable characters and at least one that is not a space. */
  public static boolean isValid(String key) {
    return !key.isBlank() && key.codePoints().allMatch(ApiKeys::isPrintable);
  }

  private static boolean isPrintable(int character) {
    switch (Character.getType(character)) {
      case Character.CONTROL:
      case Character.FORMAT:
      case Character.SURROGATE:
      case Character.PRIVATE_USE:
      case Character.UNASSIGNED:
      case Character.LINE_SEPARATOR:
      case Character.PARAGRAPH_SEPARATOR:
        return false;
      default:
        return true;
    }
  }

  /** Returns the first hex digits of the key's SHA-256 hash, by which logs identify the key. */
  public static String digest(String key) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(Arrays.copyOf(hash, DIGEST_BYTES));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("each Java platform has SHA-256", e);
    }
  }
}
