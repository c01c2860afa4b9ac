package org.foxtailford.core.configuration;

import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;
import org.foxtailford.schema.ConfigurationVersion;

/** A change that was made from a version that is no longer in force. */
public final class ConfigurationConflictException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final long expectedVersion;
  private final transient ConfigurationVersion current;
  private final transient ConfigurationDifference difference;

  /**
   * Creates the exception.
   *
   * @param expectedVersion version that the change was made from
   * @param current version that is in force
   * @param difference from the version in force to the refused document
   */
  public ConfigurationConflictException(
      long expectedVersion, ConfigurationVersion current, ConfigurationDifference difference) {
    super(
        ResultCode.CONFIGURATION_CONFLICT,
        "made from version "
            + expectedVersion
            + ", but version "
            + current.getVersion()
            + " of "
            + current.getRecord().getWho()
            + " is in force");
    this.expectedVersion = expectedVersion;
    this.current = current;
    this.difference = difference;
  }

  public long expectedVersion() {
    return expectedVersion;
  }

  public ConfigurationVersion current() {
    return current;
  }

  public ConfigurationDifference difference() {
    return difference;
  }
}
