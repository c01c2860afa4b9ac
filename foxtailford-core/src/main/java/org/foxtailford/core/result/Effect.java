package org.foxtailford.core.result;

/** What a result says about the work that was asked for. */
public enum Effect {
  /** An upstream ran the request. */
  RAN,
  /** No upstream ran the request, and none will. */
  NOT_RUN,
  /** The request may or may not have run. */
  UNKNOWN
}
