package org.foxtailford.entry.control;

/** Times of an entry VM's control. */
final class ControlTiming {

  /** Time between two rounds, in milliseconds. */
  static final long TICK_MS = 50;

  /** Time between two reports to the leader while there are few entry VMs, in milliseconds. */
  static final long REPORT_MS = 400;

  /** Reports a second that the leader gets from all entry VMs; each costs it some 0.3 ms. */
  static final int REPORTS_PER_SECOND = 100;

  /** Longest time between two reports, in milliseconds: news must come in time. */
  static final long LONGEST_REPORT_MS = 900;

  /** Longest time for a call to a peer, in milliseconds; many round trips between data centres. */
  static final long PEER_CALL_MS = 500;

  /** Age beyond a report at which rows are too old to wait for the leader, in milliseconds. */
  static final long STALE_MS = 500;

  /** Age at which the store counts as lost for everybody in touch, in milliseconds. */
  static final long STORE_LOST_MS = 1500;

  /** Time between two questions to peers while the store is out of reach, in milliseconds. */
  static final long ASK_MS = 250;

  /**
   * Time between two reads of the registrations, in milliseconds; changes in between come together.
   */
  static final long UPSTREAMS_MS = 350;

  /** Time for which the store may wait for an operator's order, in milliseconds. */
  static final long ORDERS_WAIT_MS = 1500;

  /** Time between two reads of owners and members by a VM without leader, in milliseconds. */
  static final long SYSTEM_MS = 500;

  /** Time between two reads of the members by the leader, which hears of them by their reports. */
  static final long LEADER_MEMBERS_MS = 3000;

  /** Time between two questions for owners that proved wrong, in milliseconds. */
  static final long REFRESH_MS = 120;

  /** Most by which candidates for the seat wait to differ, in milliseconds. */
  static final int CANDIDATE_DELAY_MS = 250;

  /** Difference of the clocks that shows that this process stood still, in milliseconds. */
  static final long PAUSE_MS = 700;

  private ControlTiming() {}
}
