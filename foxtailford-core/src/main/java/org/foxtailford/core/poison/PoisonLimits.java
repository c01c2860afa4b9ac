package org.foxtailford.core.poison;

/**
 * Bounds of the search for requests that crash upstreams.
 *
 * @param maxLosses losses of upstreams after which a request is refused
 * @param ttlMs time for which a loss counts against a request, in milliseconds
 * @param maxSuspects most requests that are under suspicion at the same time
 * @param correlationWindowMs longest time between a lost connection and the proof that its upstream
 *     was lost, in milliseconds
 * @param duplicateWindowMs time within which reports on one upstream are about the same loss, in
 *     milliseconds
 */
public record PoisonLimits(
    int maxLosses, long ttlMs, int maxSuspects, long correlationWindowMs, long duplicateWindowMs) {

  /** Two losses, remembered for ten minutes. */
  public static final PoisonLimits DEFAULT =
      new PoisonLimits(2, 10 * 60_000L, 10_000, 5_000, 1_000);
}
