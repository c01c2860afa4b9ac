package org.foxtailford.core.coldstart;

import java.util.Optional;

/**
 * Decides whether a request may go to an upstream that may be cold. Implementations are
 * thread-safe.
 */
public interface ColdStartAdmission {

  /**
   * Requests permission to send a request.
   *
   * @param upstream name of the upstream
   * @param nowMs reading of this VM's clock
   * @return the permit, for which {@link #recordEnd} must be called; empty if this VM must not send
   *     the request to the upstream now
   */
  Optional<ColdStartPermit> tryStart(String upstream, long nowMs);

  /**
   * Records the end of a request.
   *
   * @param permit permit of the request
   * @param confirmed whether the upstream is known not to be running the request any more
   */
  void recordEnd(ColdStartPermit permit, boolean confirmed);

  /** Records that an upstream refused a request because it is cold. */
  void onColdRefusal(String upstream, long nowMs);
}
