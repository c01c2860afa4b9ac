package org.foxtailford.core.upstream;

/**
 * Tells an owner of keys that is lost with its requests from one that only hands its keys over.
 *
 * <p>Load pattern: a machine without power answers nothing, not even a reset, so that requests at
 * it last until their timeout although their keys have a new owner.
 */
public final class OwnerLossPolicy {

  /**
   * Minimum time without any response after which a former owner is taken for lost, in
   * milliseconds; the same as for a doubt about the VM's own path.
   */
  public static final long MIN_SILENCE_MS = UpstreamPath.SILENCE_MS;

  /**
   * The same as a multiple of the expected work: a former owner that is alive completes its running
   * requests, and a machine can be slowed down by a factor of three for a while.
   */
  private static final double SILENCE_FACTOR = 4;

  private OwnerLossPolicy() {}

  /**
   * Returns whether requests at a former owner should go to the new owner of their keys.
   *
   * @param gone whether its process is no longer registered
   * @param leaving whether it is draining, or said that it is leaving; it completes its work
   * @param silentMs time for which it owes an answer, in milliseconds
   * @param workMs expected time of an answer, in milliseconds
   */
  public static boolean isLost(boolean gone, boolean leaving, long silentMs, double workMs) {
    return gone || !leaving && silentMs >= Math.max(MIN_SILENCE_MS, SILENCE_FACTOR * workMs);
  }
}
