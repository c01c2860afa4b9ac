package org.foxtailford.core.configuration;

/** What a finding means for the acceptance of a document. */
public enum FindingSeverity {
  /** The document is never accepted. */
  ERROR,
  /** The document is accepted only if the operator forces it. */
  REFUSED_UNLESS_FORCED,
  /** The document is accepted; the operator should look at it. */
  WARNING
}
