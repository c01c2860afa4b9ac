package org.foxtailford.core.admission;

/** Limit of this VM because of which a request was refused. */
public enum AdmissionRefusal {
  /** Too many requests are in flight to admit one of its priority. */
  IN_FLIGHT,
  /** The bodies in flight occupy too much memory. */
  BODY_MEMORY,
  /** The queue was full and the request had the lowest priority. */
  QUEUE_FULL,
  /** The request waited for a slot for the maximum time. */
  QUEUE_TIME
}
