package org.foxtailford.entry.control;

/** Names of the tables and rows in which the router keeps its own state in the store. */
final class SystemTables {

  /** Owners of key ranges, one row for each service. */
  static final String RANGES = "foxtailford-ranges";

  /** Entry VMs, one row each. */
  static final String MEMBERS = "foxtailford-members";

  /** Losses of upstreams while they ran requests, one row each. */
  static final String LOSSES = "foxtailford-losses";

  /** Table of the leader record and its renewals. */
  static final String LEADER = "foxtailford-leader";

  /** Row of the leader record, written only when a VM acquires leadership. */
  static final String LEADER_KEY = "leader";

  /**
   * Row that the leader rewrites at each renewal; it is separate so that the version of the leader
   * record stays the same during a term.
   */
  static final String RENEWAL_KEY = "renewal";

  private SystemTables() {}
}
