package org.foxtailford.core.configuration;

/** Effect of a finding on the acceptance of a configuration document. */
public enum FindingSeverity {
  /** The document is never accepted. */
  ERROR,
  /** The document is accepted only if the operator forces it. */
  REFUSED_UNLESS_FORCED,
  /** The document is accepted, but the operator should review the finding. */
  WARNING
}
