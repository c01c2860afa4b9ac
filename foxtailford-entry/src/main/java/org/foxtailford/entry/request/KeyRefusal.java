package org.foxtailford.entry.request;

/** Reasons for which a request is refused because of its API key, or for lack of one. */
enum KeyRefusal {
  MALFORMED(400, "malformed API key"),
  MISSING(401, "no API key"),
  UNKNOWN(401, "unknown API key"),
  UNCONFIRMED(503, "API keys not confirmed");

  private final int status;
  private final String reason;

  KeyRefusal(int status, String reason) {
    this.status = status;
    this.reason = reason;
  }

  /** Returns the status code of the answer. */
  int status() {
    return status;
  }

  /** Returns the reason, for the log and the metrics. */
  String reason() {
    return reason;
  }
}
