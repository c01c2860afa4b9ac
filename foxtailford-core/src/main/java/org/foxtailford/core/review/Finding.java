package org.foxtailford.core.review;

import org.foxtailford.core.util.Assert;

/**
 * Fault of a configuration.
 *
 * @param severity how the fault affects requests
 * @param subject part of the configuration, such as {@code route r-1}
 * @param message what is wrong
 */
public record Finding(Severity severity, String subject, String message) {

  /** Effect of a fault. */
  public enum Severity {
    /** Entry VMs reject the configuration, or requests that it allows can't be served. */
    ERROR,
    /** Part of the configuration has no effect, or contradicts another part. */
    WARNING
  }

  /** Validates the texts. */
  public Finding {
    Assert.notNull(severity, "severity");
    Assert.hasLength(subject, "subject");
    Assert.hasLength(message, "message");
  }

  static Finding error(String subject, String message) {
    return new Finding(Severity.ERROR, subject, message);
  }

  static Finding warning(String subject, String message) {
    return new Finding(Severity.WARNING, subject, message);
  }
}
