package org.foxtailford.core.range;

/** Intervals and timeouts of the leadership, which a record in the store assigns to one VM. */
public final class LeadershipTiming {

  /** Interval between renewals of the leader record, in milliseconds; each is a paid call. */
  public static final long RENEW_INTERVAL_MS = 800;

  /** Interval between retries of an unconfirmed renewal, in milliseconds. */
  public static final long RETRY_INTERVAL_MS = 300;

  /**
   * Time without a renewal after which another VM may take over the leadership, in milliseconds.
   */
  public static final long VACANCY_TIMEOUT_MS = 1400;

  /**
   * Time beyond the interval of reports without a message from the leader after which its record is
   * read, in milliseconds.
   */
  public static final long SUSPICION_DELAY_MS = 450;

  /** Interval between reads of the record of a suspected leader, in milliseconds. */
  public static final long POLL_INTERVAL_MS = 450;

  /**
   * Time after its last confirmed renewal for which a leader reports to others that it leads, in
   * milliseconds. It is limited because another VM may reach the store, and take over, while the
   * leader can't.
   */
  public static final long ADVERTISE_WINDOW_MS = 1500;

  /** Time after its last confirmed renewal for which a leader renews grants, in milliseconds. */
  public static final long GRANT_RENEWAL_WINDOW_MS = 6000;

  /** Time after its last confirmed renewal for which a leader begins moves, in milliseconds. */
  public static final long MOVE_WINDOW_MS = 1800;

  private LeadershipTiming() {}
}
