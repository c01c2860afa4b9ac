package org.foxtailford.core.configuration;

import java.util.stream.Collectors;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/** Thrown when findings block the acceptance of a configuration document. */
public final class InvalidConfigurationException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final transient ConfigurationReport report;

  /**
   * Creates an exception whose message lists the blocking findings, one per line.
   *
   * @param report result of the check
   * @param forced whether the operator forced acceptance
   */
  public InvalidConfigurationException(ConfigurationReport report, boolean forced) {
    super(
        ResultCode.INVALID_CONFIGURATION,
        report.blockingFindings(forced).stream()
            .map(ConfigurationFinding::toString)
            .collect(Collectors.joining("\n")));
    this.report = report;
  }

  /** Returns the result of the check with all findings, blocking or not. */
  public ConfigurationReport report() {
    return report;
  }
}
