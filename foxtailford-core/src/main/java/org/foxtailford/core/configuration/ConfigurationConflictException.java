package org.foxtailford.core.configuration;

import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.ConfigurationVersion;

/** Thrown when a change is based on a version that has been replaced since. */
public final class ConfigurationConflictException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final long expectedVersion;
  private final transient ConfigurationVersion current;
  private final transient ConfigurationDifference difference;

  /**
   * Creates an exception that carries the active version and the difference from it.
   *
   * @param expectedVersion version that the change is based on
   * @param current active version
   * @param difference changes from the active version to the rejected document
   */
  public ConfigurationConflictException(
      long expectedVersion, ConfigurationVersion current, ConfigurationDifference difference) {
    super(
        ResultCode.CONFIGURATION_CONFLICT,
        "change is based on version "
            + expectedVersion
            + ", but version "
            + current.getVersion()
            + " by "
            + current.getRecord().getWho()
            + " is active");
    this.expectedVersion = expectedVersion;
    this.current = current;
    this.difference = difference;
  }

  /** Returns the version that the rejected change is based on. */
  public long expectedVersion() {
    return expectedVersion;
  }

  /** Returns the version that was active when the change was rejected. */
  public ConfigurationVersion current() {
    return current;
  }

  /** Returns the changes from the active version to the rejected document. */
  public ConfigurationDifference difference() {
    return difference;
  }
}
