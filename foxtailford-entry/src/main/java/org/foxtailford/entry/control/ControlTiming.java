package org.foxtailford.entry.control;

/** Intervals and timeouts of {@link EntryControl}. */
final class ControlTiming {

  /** Delay between control steps, in milliseconds. */
  static final long TICK_MS = 50;

  /** Minimum interval between reports to the leader, in milliseconds; used with few entry VMs. */
  static final long MIN_REPORT_MS = 400;

  /**
   * Target rate at which the leader receives reports from all entry VMs, in reports per second;
   * processing one takes the leader about 0.3 ms.
   */
  static final int TARGET_REPORTS_PER_SECOND = 100;

  /**
   * Upper limit of the interval between reports, in milliseconds, whatever the number of entry VMs;
   * a report's reply carries changes of the tables, which must not arrive late.
   */
  static final long MAX_REPORT_MS = 900;

  /** Timeout of a call to a peer, in milliseconds; many round trips between data centres. */
  static final long PEER_TIMEOUT_MS = 500;

  /**
   * Time beyond the report interval after which rows are stale, in milliseconds. A VM with stale
   * rows reads the store itself instead of waiting for the leader.
   */
  static final long STALENESS_MARGIN_MS = 500;

  /**
   * Age of the rows at which the store counts as unreachable for this VM and the peers that it can
   * reach, in milliseconds.
   */
  static final long STORE_LOST_MS = 1500;

  /** Interval between queries to peers while the store is unreachable, in milliseconds. */
  static final long PEER_QUERY_MS = 250;

  /**
   * Interval between reads of the upstreams' registrations, in milliseconds; one read returns all
   * changes since the last one.
   */
  static final long UPSTREAM_POLL_MS = 350;

  /**
   * Time for which the store may hold a read of the operator table open, in milliseconds. With the
   * time after which its answer is overdue and the interval of reports it must stay below the time
   * in which a change has to be in force.
   */
  static final long OPERATOR_WAIT_MS = 700;

  /**
   * Time beyond the leader's wait and the report interval after which a VM reads a table itself for
   * which the leader waits, in milliseconds; a few round trips.
   */
  static final long WAIT_MARGIN_MS = 300;

  /**
   * Time for which the store may hold a read of the losses open, in milliseconds. With the time
   * after which its answer is overdue and the interval of reports it must stay below the time in
   * which a request that ends upstreams has to be stopped everywhere.
   */
  static final long LOSS_WAIT_MS = 1800;

  /** Interval between retries of a write of losses, in milliseconds. */
  static final long LOSS_WRITE_RETRY_MS = 300;

  /** Interval between checks for losses of upstreams that have not ended, in milliseconds. */
  static final long LOSS_TAKE_BACK_MS = 1000;

  /** Interval between removals of losses that have expired, in milliseconds. */
  static final long LOSS_CLEANUP_MS = 60_000;

  /** Interval between reads of owners and members by a VM without leader, in milliseconds. */
  static final long SYSTEM_POLL_MS = 500;

  /**
   * Interval between reads of the members by the leader, in milliseconds. It can be long because
   * members report to the leader.
   */
  static final long LEADER_MEMBER_POLL_MS = 3000;

  /**
   * Interval between early reports, after an owner has rejected a key or another VM had a newer
   * configuration, in milliseconds.
   */
  static final long REFRESH_MS = 120;

  /**
   * Upper bound of the random delay of a candidate for leadership, in milliseconds; it keeps
   * candidates from trying at the same time.
   */
  static final int CANDIDATE_JITTER_MS = 250;

  /**
   * Time without a leader after which a VM that reaches no upstream may lead too, in milliseconds;
   * one that does is faster, unless there is none.
   */
  static final long CUT_OFF_CANDIDACY_MS = 4000;

  /** Increase of the clocks' offset from which the process counts as paused, in milliseconds. */
  static final long PAUSE_THRESHOLD_MS = 700;

  private ControlTiming() {}
}
