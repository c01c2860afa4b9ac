package org.foxtailford.core.upstream;

import java.util.Collection;
import java.util.Optional;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.Predicate;
import org.foxtailford.core.util.Assert;

/**
 * Chooses the upstream that will probably answer first, among those with room.
 *
 * <p>Answers the load patterns of unequal, slow and full upstreams. A small random share keeps the
 * entry VMs from choosing the same one at once.
 */
public final class UpstreamChooser {

  private static final double RANDOM_SHARE = 0.2;

  private final DoubleSupplier random;

  /** Creates a chooser with a source of numbers from 0 to 1. */
  public UpstreamChooser(DoubleSupplier random) {
    this.random = Assert.notNull(random, "random");
  }

  /**
   * Chooses an upstream.
   *
   * @param candidates upstreams that may be used
   * @param loads load of each
   * @param hasRoom whether an upstream may get one more request
   * @param penaltyMs what using an upstream costs beside its time, in milliseconds
   * @param serviceTypicalMs usual time of the service, for upstreams without answers yet
   */
  public Optional<UpstreamEntry> choose(
      Collection<UpstreamEntry> candidates,
      Function<UpstreamEntry, UpstreamLoad> loads,
      Predicate<UpstreamEntry> hasRoom,
      Function<UpstreamEntry, Double> penaltyMs,
      double serviceTypicalMs,
      long nowMs) {
    UpstreamEntry best = null;
    double bestMs = Double.MAX_VALUE;
    for (UpstreamEntry candidate : candidates) {
      UpstreamLoad load = loads.apply(candidate);
      if (load.isSuspended(nowMs) || !hasRoom.test(candidate)) {
        continue;
      }
      double expected = load.expectedMs(serviceTypicalMs, nowMs) + penaltyMs.apply(candidate);
      double spread = expected * (1 + RANDOM_SHARE * random.getAsDouble());
      if (spread < bestMs) {
        best = candidate;
        bestMs = spread;
      }
    }
    return Optional.ofNullable(best);
  }
}
