package org.foxtailford.core.util;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/** Assertions that validate the arguments of public methods. */
public final class Assert {

  private Assert() {}

  /**
   * Checks that a value is not null.
   *
   * @param value the value to check
   * @param name name of the argument, for the error message
   * @return the value
   * @throws NullPointerException if the value is null
   */
  public static <T> T notNull(@Nullable T value, String name) {
    return Objects.requireNonNull(value, () -> name + " must not be null");
  }

  /**
   * Checks that a text is neither null nor empty.
   *
   * @param value the text to check
   * @param name name of the argument, for the error message
   * @return the text
   * @throws IllegalArgumentException if the text is null or empty
   */
  public static String hasLength(@Nullable String value, String name) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException(name + " must not be empty");
    }
    return value;
  }

  /**
   * Checks a condition on an argument.
   *
   * @param condition the condition
   * @param message error message if the condition is false
   * @throws IllegalArgumentException if the condition is false
   */
  public static void isTrue(boolean condition, String message) {
    if (!condition) {
      throw new IllegalArgumentException(message);
    }
  }
}
