package org.foxtailford.core.configuration;

import java.util.List;
import java.util.Optional;
import org.foxtailford.schema.ConfigurationDocument;

/**
 * Result of the check of a configuration document. Immutable.
 *
 * @param document document in canonical order; empty if it does not match the schema
 * @param findings all findings, in the order in which the checks ran
 */
public record ConfigurationReport(
    Optional<ConfigurationDocument> document, List<ConfigurationFinding> findings) {

  /** Creates a report with a copy of the findings. */
  public ConfigurationReport {
    findings = List.copyOf(findings);
  }

  /**
   * Returns the findings that prevent the document from being accepted.
   *
   * @param forced whether the operator forces acceptance; errors block it even then
   */
  public List<ConfigurationFinding> blockingFindings(boolean forced) {
    return findings.stream()
        .filter(finding -> finding.severity() != FindingSeverity.WARNING)
        .filter(finding -> !forced || finding.severity() == FindingSeverity.ERROR)
        .toList();
  }

  /**
   * Returns the document, or throws if a finding blocks its acceptance.
   *
   * @param forced whether the operator forces acceptance; errors block it even then
   * @throws InvalidConfigurationException if the document must not be accepted
   */
  public ConfigurationDocument requireAcceptable(boolean forced) {
    if (document.isEmpty() || !blockingFindings(forced).isEmpty()) {
      throw new InvalidConfigurationException(this, forced);
    }
    return document.get();
  }
}
