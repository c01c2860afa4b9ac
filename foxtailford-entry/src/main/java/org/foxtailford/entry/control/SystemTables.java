package org.foxtailford.entry.control;

/** Tables and rows of the system itself in the store. */
final class SystemTables {

  /** Owners of key ranges, one row for each service. */
  static final String RANGES = "foxtailford-ranges";

  /** Entry VMs, one row each. */
  static final String MEMBERS = "foxtailford-members";

  /** The present leader. */
  static final String LEADER = "foxtailford-leader";

  /** Row of the present leader; changes only when another takes over. */
  static final String LEADER_KEY = "leader";

  /** Row that the leader writes again and again. */
  static final String RENEWAL_KEY = "renewal";

  private SystemTables() {}
}
