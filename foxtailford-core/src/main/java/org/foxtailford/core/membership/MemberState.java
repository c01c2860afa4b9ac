package org.foxtailford.core.membership;

/** State of an entry VM as observed by this VM. */
public enum MemberState {
  /** Listed by the platform and not observed yet. */
  LISTED,
  /** Observed, directly or through another VM, within the time limit. */
  LIVE,
  /** About to stop. */
  LEAVING,
  /** Not observed within the time limit. */
  LOST
}
