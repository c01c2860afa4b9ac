package org.foxtailford.core.result;

/** Whether the requested work was executed, as far as a result tells. */
public enum Effect {
  /** An upstream ran the request. */
  RAN,
  /** No upstream ran the request, and none will. */
  NOT_RUN,
  /** It is not known whether the request ran. */
  UNKNOWN
}
