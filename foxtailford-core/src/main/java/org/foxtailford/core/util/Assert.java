package org.foxtailford.core.util;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Checks of arguments at the entry of public methods. */
public final class Assert {

  private Assert() {}

  /**
   * Requires a value to be present.
   *
   * @param value the value to check
   * @param name the name of the argument, for the message
   * @return the value
   * @throws NullPointerException if the value is absent
   */
  public static <T> T notNull(@Nullable T value, String name) {
    return Objects.requireNonNull(value, () -> name + " must not be null");
  }

  /**
   * Requires a text to contain something.
   *
   * @throws IllegalArgumentException if the text is absent or empty
   */
  public static String hasLength(@Nullable String value, String name) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException(name + " must not be empty");
    }
    return value;
  }

  /**
   * Requires a condition on an argument.
   *
   * @throws IllegalArgumentException if the condition does not hold
   */
  public static void isTrue(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
