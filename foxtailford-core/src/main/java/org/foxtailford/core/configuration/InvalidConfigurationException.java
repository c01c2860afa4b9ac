package org.foxtailford.core.configuration;

import java.util.stream.Collectors;
import org.foxtailford.core.result.ResultCode;
import org.foxtailford.core.result.ResultCodeException;

/** A configuration document that was not accepted because of what its check found. */
public final class InvalidConfigurationException extends ResultCodeException {

  private static final long serialVersionUID = 1L;

  private final transient ConfigurationReport report;

  public InvalidConfigurationException(ConfigurationReport report, boolean forced) {
    super(
        ResultCode.INVALID_CONFIGURATION,
        report.blockingFindings(forced).stream()
            .map(ConfigurationFinding::toString)
            .collect(Collectors.joining("\n")));
    this.report = report;
  }

  /** Returns everything that the check found. */
  public ConfigurationReport report() {
    return report;
  }
}
