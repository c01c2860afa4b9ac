package org.foxtailford.testkit.homes;

import org.foxtailford.core.ownership.OwnershipTiming;
import org.foxtailford.core.platform.TableService;
import org.foxtailford.schema.GrantRequest;
import org.foxtailford.schema.HomeRanges;

/** The rules that a schedule runs under; tests override one to break it. */
interface HomeRules {

  int LEASE_TTL_MS = 600;
  int RENEW_INTERVAL_MS = 200;
  int GRANT_TTL_MS = 700;
  int HOLD_MS = 2000;
  int CLOCK_RATE_MARGIN_PPM = 200_000;

  /** Returns the times that everyone uses. */
  default OwnershipTiming timing() {
    return new OwnershipTiming(
        LEASE_TTL_MS, RENEW_INTERVAL_MS, GRANT_TTL_MS, CLOCK_RATE_MARGIN_PPM, HOLD_MS);
  }

  /** Returns the times by which others decide that a data centre is lost. */
  default OwnershipTiming watchTiming() {
    return timing();
  }

  /** Returns the times by which a leader decides that its tenure is over. */
  default OwnershipTiming electionTiming() {
    return timing();
  }

  /** Returns the table as the watch of other leaders reaches it. */
  default TableService watchTable(TableService table) {
    return table;
  }

  /** Returns the table as the election reaches it. */
  default TableService electionTable(TableService table) {
    return table;
  }

  /** Returns the table as the home mover reaches it. */
  default TableService moverTable(TableService table) {
    return table;
  }

  /** Returns a row of homes as a leader sees it. */
  default HomeRanges homes(HomeRanges row) {
    return row;
  }

  /** Returns a grant as an upstream takes it. */
  default GrantRequest grant(GrantRequest request, long upstreamNowMs) {
    return request;
  }
}
