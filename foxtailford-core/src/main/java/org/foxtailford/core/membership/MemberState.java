package org.foxtailford.core.membership;

/** What is known of an entry VM. */
public enum MemberState {
  /** Listed by the platform and not heard from yet. */
  LISTED,
  /** Heard from within the time limit. */
  LIVE,
  /** Heard from, and about to stop. */
  LEAVING,
  /** Not heard from within the time limit. */
  LOST
}
