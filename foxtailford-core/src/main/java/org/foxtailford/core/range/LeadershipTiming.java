package org.foxtailford.core.range;

/** Times of the leader's seat. */
public final class LeadershipTiming {

  /** Time between two renewals of the seat, in milliseconds; each one is a paid call. */
  public static final long RENEW_INTERVAL_MS = 800;

  /** Time between two tries while a renewal is not confirmed, in milliseconds. */
  public static final long RETRY_INTERVAL_MS = 300;

  /** Time for which a seat must stand without renewal before another may take it. */
  public static final long VACANCY_TIMEOUT_MS = 1400;

  /** Time beyond a report without a word from the leader until its row is looked at. */
  public static final long SUSPICION_DELAY_MS = 450;

  /** Time between two looks at the row of a suspected leader, in milliseconds. */
  public static final long POLL_INTERVAL_MS = 450;

  /**
   * Time after its last confirmation for which a leader says that it leads, in milliseconds. Others
   * may reach the store when it does not.
   */
  public static final long ADVERTISE_WINDOW_MS = 1500;

  /** Time after its last confirmation for which a leader renews grants, in milliseconds. */
  public static final long GRANT_RENEWAL_WINDOW_MS = 6000;

  /** Time after its last confirmation for which a leader begins moves, in milliseconds. */
  public static final long MOVE_WINDOW_MS = 1800;

  private LeadershipTiming() {}
}
