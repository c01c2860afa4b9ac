package org.foxtailford.core.coldstart;

import java.util.Optional;

/**
 * Decides whether a request may go to an upstream that may be cold. Implementations are
 * thread-safe.
 */
public interface ColdStartAdmission {

  /**
   * Asks to send a request.
   *
   * @return the permission, after which {@link #recordEnd} must follow; empty if the request must
   *     not go to the upstream from here
   */
  Optional<ColdStartPermit> tryStart(String upstream, long nowMs);

  /**
   * Notes the end of a request that a permission was given for.
   *
   * @param ticket the permission
   * @param certain whether the upstream surely no longer runs it
   */
  void recordEnd(ColdStartPermit ticket, boolean certain);

  /** Notes that an upstream refused a request because it is cold. */
  void onColdRefusal(String upstream, long nowMs);
}
