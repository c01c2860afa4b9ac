package org.foxtailford.core.poison;

/**
 * Limits for the detection of requests that crash upstreams.
 *
 * @param maxLosses number of upstream losses after which a request is refused
 * @param maxSharedLosses number of losses after which a request is refused if another request was
 *     in flight at all of them too, so that one of the two is harmless; at least {@code maxLosses}
 * @param ttlMs time for which a loss counts against a request, in milliseconds
 * @param maxSuspects maximum number of requests under suspicion at the same time
 * @param correlationWindowMs maximum time between the loss of a connection and the confirmed loss
 *     of its upstream for the two to be correlated, in milliseconds
 * @param duplicateWindowMs time within which reports on the same upstream are taken for the same
 *     loss, in milliseconds
 */
public record PoisonLimits(
    int maxLosses,
    int maxSharedLosses,
    long ttlMs,
    int maxSuspects,
    long correlationWindowMs,
    long duplicateWindowMs) {

  /**
   * Defaults: two losses, shared or not, a TTL of ten minutes, 10,000 suspects, a correlation
   * window of 5 s and a duplicate window of 1 s.
   */
  public static final PoisonLimits DEFAULT =
      new PoisonLimits(2, 2, 10 * 60_000L, 10_000, 5_000, 1_000);

  /**
   * Limits if upstreams are told apart by incarnations, each of which is lost once, so that reports
   * on the same one never count twice. A request whose losses another one shares gets a third
   * trial.
   */
  public static final PoisonLimits BY_INCARNATION =
      new PoisonLimits(
          DEFAULT.maxLosses(),
          DEFAULT.maxLosses() + 1,
          DEFAULT.ttlMs(),
          DEFAULT.maxSuspects(),
          DEFAULT.correlationWindowMs(),
          DEFAULT.ttlMs());
}
