package org.foxtailford.core.configuration;

import java.util.List;
import java.util.Optional;
import org.foxtailford.schema.ConfigurationDocument;

/**
 * Result of a check. Immutable.
 *
 * @param document the document in canonical order; empty if it does not match the schema
 * @param findings everything that was found, in order of the document
 */
public record ConfigurationReport(
    Optional<ConfigurationDocument> document, List<ConfigurationFinding> findings) {

  /** Copies the findings. */
  public ConfigurationReport {
    findings = List.copyOf(findings);
  }

  /**
   * Returns the findings that keep the document from being accepted.
   *
   * @param forced whether the operator insists
   */
  public List<ConfigurationFinding> blockingFindings(boolean forced) {
    return findings.stream()
        .filter(f -> f.severity() != FindingSeverity.WARNING)
        .filter(f -> !forced || f.severity() == FindingSeverity.ERROR)
        .toList();
  }

  /**
   * Returns the document if it may be accepted.
   *
   * @param forced whether the operator insists
   * @throws InvalidConfigurationException if it may not
   */
  public ConfigurationDocument requireAcceptable(boolean forced) {
    if (document.isEmpty() || !blockingFindings(forced).isEmpty()) {
      throw new InvalidConfigurationException(this, forced);
    }
    return document.get();
  }
}
