package org.foxtailford.core.admission;

/** Limit of this VM that refused a request. */
public enum AdmissionRefusal {
  /** Too many requests in flight for one of its worth. */
  IN_FLIGHT,
  /** The bodies in flight take too much memory. */
  BODY_MEMORY,
  /** The queue was full and it had the lowest worth. */
  QUEUE_FULL,
  /** It waited for a slot for the longest time allowed. */
  QUEUE_TIME
}
