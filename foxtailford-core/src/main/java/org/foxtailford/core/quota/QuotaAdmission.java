package org.foxtailford.core.quota;

/**
 * Decision on a request of a tenant with a limit.
 *
 * @param outcome the decision
 * @param timeMs if admitted, when the token expires; if over the quota or unknown, the time after
 *     which the caller may retry, in milliseconds
 */
public record QuotaAdmission(Outcome outcome, long timeMs) {

  /** Kinds of decisions. */
  public enum Outcome {
    /** The request has a token. */
    ADMITTED,
    /** The quota is used up. */
    OVER_QUOTA,
    /** No holder answers, and the emergency tokens are used up. */
    UNKNOWN,
    /** The holder has to be asked. */
    PENDING
  }

  static QuotaAdmission admitted(long expiresMs) {
    return new QuotaAdmission(Outcome.ADMITTED, expiresMs);
  }

  static QuotaAdmission overQuota(long retryAfterMs) {
    return new QuotaAdmission(Outcome.OVER_QUOTA, retryAfterMs);
  }

  static QuotaAdmission unknown(long retryAfterMs) {
    return new QuotaAdmission(Outcome.UNKNOWN, retryAfterMs);
  }

  static final QuotaAdmission PENDING = new QuotaAdmission(Outcome.PENDING, 0);
}
